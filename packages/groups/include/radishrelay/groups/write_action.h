#ifndef RADISHRELAY_GROUPS_WRITE_ACTION_H
#define RADISHRELAY_GROUPS_WRITE_ACTION_H

#include "radishrelay/groups/committed_write.h"
#include "radishrelay/groups/instance_call.h"

#include <variant>

namespace radishrelay::groups {

/// Why the outcome of a committed write is unknown.
enum class unknown_reason { DeadlinePassed, TermSuperseded };

/// Action: acknowledge the write to its caller. If \p ValidUntil has passed
/// when the answer is sent, the outcome is unknown instead, because the
/// statuses or the lease behind the acknowledgement no longer count.
struct acknowledge_write {
  write_id Write = 0;
  base::time_point ValidUntil;

  friend bool operator==(const acknowledge_write &,
                         const acknowledge_write &) = default;
};

/// Action: answer the write's caller with the code outcome_unknown.
struct report_unknown {
  write_id Write = 0;
  unknown_reason Reason = unknown_reason::DeadlinePassed;

  friend bool operator==(const report_unknown &,
                         const report_unknown &) = default;
};

/// What write_tracker returns for its caller to carry out.
using write_action =
    std::variant<instance_call, acknowledge_write, report_unknown>;

} // namespace radishrelay::groups

#endif
