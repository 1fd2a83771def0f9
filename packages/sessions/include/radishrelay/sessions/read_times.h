#ifndef RADISHRELAY_SESSIONS_READ_TIMES_H
#define RADISHRELAY_SESSIONS_READ_TIMES_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::sessions {

/// When a read was sent to the store, and how long the store was to hold it for
/// a change.
struct read_times {
  base::time_point SentAt;
  base::duration Wait{};

  friend bool operator==(const read_times &, const read_times &) = default;
};

} // namespace radishrelay::sessions

#endif
