#ifndef RADISHRELAY_SESSIONS_READ_TIMES_H
#define RADISHRELAY_SESSIONS_READ_TIMES_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::sessions {

/// Send time of a read of the store, and the time that the store was asked to
/// wait for a change.
struct read_times {
  base::time_point SentAt;
  base::duration Wait{};

  friend bool operator==(const read_times &, const read_times &) = default;
};

} // namespace radishrelay::sessions

#endif
