#ifndef RADISHRELAY_GROUPS_POOL_ACTION_H
#define RADISHRELAY_GROUPS_POOL_ACTION_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/connection_number.h"
#include "radishrelay/groups/planned_statement.h"

#include <variant>
#include <vector>

namespace radishrelay::groups {

/// Open a connection and report opened() or closed().
struct open_pooled {
  connection_number Connection = 0;
  base::time_point Deadline;

  friend bool operator==(const open_pooled &, const open_pooled &) = default;
};

/// Run these statements, one pipeline per statement, and report resetEnded().
struct reset_pooled {
  connection_number Connection = 0;
  std::vector<planned_statement> Statements;
  base::time_point Deadline;

  friend bool operator==(const reset_pooled &, const reset_pooled &) = default;
};

/// Close a connection and report closed().
struct close_pooled {
  connection_number Connection = 0;

  friend bool operator==(const close_pooled &, const close_pooled &) = default;
};

using pool_action = std::variant<open_pooled, reset_pooled, close_pooled>;
using pool_actions = std::vector<pool_action>;

} // namespace radishrelay::groups

#endif
