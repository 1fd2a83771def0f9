#ifndef RADISHRELAY_GROUPS_COMMITTED_WRITE_H
#define RADISHRELAY_GROUPS_COMMITTED_WRITE_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// Number of a write; the caller of write_tracker assigns it and uses each
/// number once per process.
using write_id = std::uint64_t;

/// Event: the primary has answered that a write is committed in its own log.
/// Other instances need not hold the write yet.
struct committed_write {
  write_id Write = 0;
  /// Position in the primary's log directly after the write.
  log_position Position;
  /// When the commit answer arrived. Only statuses requested at or after this
  /// time count for the write.
  base::time_point CommittedAt;
  /// The caller's deadline. A write that is undecided by then is reported with
  /// an unknown outcome.
  base::time_point Deadline;

  friend bool operator==(const committed_write &,
                         const committed_write &) = default;
};

} // namespace radishrelay::groups

#endif
