#ifndef RADISHRELAY_GROUPS_WRITE_VERDICT_H
#define RADISHRELAY_GROUPS_WRITE_VERDICT_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::groups {

/// State of a committed write according to the available evidence (the
/// instances' statuses or the term lease).
enum class write_state {
  /// The evidence is not sufficient yet.
  Pending,
  Acknowledged,
  /// A later term has replaced the write's term. The write may be lost or may
  /// survive.
  Superseded,
};

/// State of a write with the time until which the evidence for it counts.
struct write_verdict {
  write_state State = write_state::Pending;
  /// For Acknowledged: the earliest deadline among the write's own and those of
  /// the evidence used.
  base::time_point ValidUntil;

  friend bool operator==(const write_verdict &,
                         const write_verdict &) = default;
};

} // namespace radishrelay::groups

#endif
