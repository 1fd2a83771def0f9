#ifndef RADISHRELAY_GROUPS_READ_ERROR_H
#define RADISHRELAY_GROUPS_READ_ERROR_H

#include <system_error>

namespace radishrelay::groups {

/// Reasons for refusing a read, which then counts as not run.
enum class read_error {
  /// No instance can serve sufficiently fresh data before the deadline.
  NoFreshReplica = 1,
  /// The session has seen log entries that a failover has removed.
  HistoryLost,
};

const std::error_category &readCategory();

std::error_code make_error_code(read_error Error);

} // namespace radishrelay::groups

template <>
struct std::is_error_code_enum<radishrelay::groups::read_error>
    : std::true_type {};

#endif
