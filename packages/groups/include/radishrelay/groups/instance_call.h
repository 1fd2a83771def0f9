#ifndef RADISHRELAY_GROUPS_INSTANCE_CALL_H
#define RADISHRELAY_GROUPS_INSTANCE_CALL_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// Functions that an instance provides for failover.
enum class call_kind {
  /// group_status(): returns the instance's status.
  Status,
  /// group_raise_term(Term): makes the instance refuse log entries and commits
  /// of lower terms.
  Raise,
  /// group_promote(Term): makes the instance the primary of Term, to which it
  /// must have been raised.
  Promote,
};

/// Action: call a function of an instance over a connection that was opened for
/// the call or has answered recently. Status calls of the failover use a new
/// connection, because an open connection can stop answering while the instance
/// itself works.
struct instance_call {
  base::instance_id Instance;
  call_kind Kind = call_kind::Status;
  /// 0 for a status call.
  term_number Term = 0;
  /// Answers that arrive later are ignored, and a status in the answer counts
  /// until then.
  base::time_point Deadline;

  friend bool operator==(const instance_call &,
                         const instance_call &) = default;
};

} // namespace radishrelay::groups

#endif
