#ifndef RADISHRELAY_GROUPS_POOL_ACTION_H
#define RADISHRELAY_GROUPS_POOL_ACTION_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/connection_number.h"
#include "radishrelay/groups/sql_statement.h"

#include <variant>
#include <vector>

namespace radishrelay::groups {

/// Open a connection and call connection_pool::opened() or closed().
struct open_pooled_connection {
  connection_number Connection = 0;
  base::time_point Deadline;

  friend bool operator==(const open_pooled_connection &,
                         const open_pooled_connection &) = default;
};

/// Run these statements, one pipeline per statement, and call
/// connection_pool::resetEnded().
struct reset_pooled_connection {
  connection_number Connection = 0;
  std::vector<sql_statement> Statements;
  base::time_point Deadline;

  friend bool operator==(const reset_pooled_connection &,
                         const reset_pooled_connection &) = default;
};

/// Close a connection and call connection_pool::closed().
struct close_pooled_connection {
  connection_number Connection = 0;

  friend bool operator==(const close_pooled_connection &,
                         const close_pooled_connection &) = default;
};

using pool_action =
    std::variant<open_pooled_connection, reset_pooled_connection,
                 close_pooled_connection>;
using pool_actions = std::vector<pool_action>;

} // namespace radishrelay::groups

#endif
