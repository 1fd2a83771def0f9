#ifndef RADISHRELAY_GROUPS_COMMITTED_WRITE_H
#define RADISHRELAY_GROUPS_COMMITTED_WRITE_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// Chosen by the caller of the tracker, never used twice in a process.
using write_id = std::uint64_t;

/// Event: the primary answered that a write is committed in its own log.
struct committed_write {
  write_id Write = 0;
  /// Term and end of the write in the primary's log.
  log_position Position;
  /// When the commit answer arrived; only evidence asked for later counts.
  base::time_point CommittedAt;
  /// The caller's deadline; the outcome is unknown from then on.
  base::time_point Deadline;

  friend bool operator==(const committed_write &,
                         const committed_write &) = default;
};

} // namespace radishrelay::groups

#endif
