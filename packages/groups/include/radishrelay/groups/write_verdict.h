#ifndef RADISHRELAY_GROUPS_WRITE_VERDICT_H
#define RADISHRELAY_GROUPS_WRITE_VERDICT_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::groups {

/// What the evidence says of a committed write.
enum class write_state {
  /// More evidence is needed.
  Pending,
  Acknowledged,
  /// A later term has taken over; the write may be lost or kept.
  Superseded,
};

/// A state with the time at which its evidence ends.
struct write_verdict {
  write_state State = write_state::Pending;
  /// For Acknowledged: the first evidence it rests on ends then.
  base::time_point ValidUntil;

  friend bool operator==(const write_verdict &,
                         const write_verdict &) = default;
};

} // namespace radishrelay::groups

#endif
