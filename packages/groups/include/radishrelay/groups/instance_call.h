#ifndef RADISHRELAY_GROUPS_INSTANCE_CALL_H
#define RADISHRELAY_GROUPS_INSTANCE_CALL_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// The calls that an instance offers.
enum class call_kind {
  /// group_status()
  Status,
  /// group_raise_term(Term)
  Raise,
  /// group_promote(Term)
  Promote,
};

/// Action: call an instance, over a connection that was opened for it or has
/// answered recently. Status calls of the failover use a fresh connection,
/// since an open one can go silent while the instance works.
struct instance_call {
  base::instance_id Instance;
  call_kind Kind = call_kind::Status;
  /// 0 for a status call.
  term_number Term = 0;
  /// No answer counts after it, and evidence in the answer ends with it.
  base::time_point Deadline;

  friend bool operator==(const instance_call &,
                         const instance_call &) = default;
};

} // namespace radishrelay::groups

#endif
