#ifndef RADISHRELAY_GROUPS_WRITE_ACTION_H
#define RADISHRELAY_GROUPS_WRITE_ACTION_H

#include "radishrelay/groups/committed_write.h"
#include "radishrelay/groups/instance_call.h"

#include <variant>

namespace radishrelay::groups {

/// Why the outcome of a committed write is unknown.
enum class unknown_reason { DeadlinePassed, TermSuperseded };

/// Action: answer the caller that the write is acknowledged, unless
/// \p ValidUntil has passed by the time the answer is sent; then the outcome
/// is unknown.
struct acknowledge_write {
  write_id Write = 0;
  base::time_point ValidUntil;

  friend bool operator==(const acknowledge_write &,
                         const acknowledge_write &) = default;
};

/// Action: answer the caller with the code outcome_unknown.
struct report_unknown {
  write_id Write = 0;
  unknown_reason Reason = unknown_reason::DeadlinePassed;

  friend bool operator==(const report_unknown &,
                         const report_unknown &) = default;
};

/// What a write_tracker asks for.
using write_action =
    std::variant<instance_call, acknowledge_write, report_unknown>;

} // namespace radishrelay::groups

#endif
