#ifndef RADISHRELAY_GROUPS_READ_VERDICT_H
#define RADISHRELAY_GROUPS_READ_VERDICT_H

#include "radishrelay/groups/log_position.h"

#include <system_error>
#include <variant>

namespace radishrelay::groups {

/// The result may be returned.
struct accept_result {
  /// Log position that the read saw; the caller merges it into the session.
  log_position Seen;

  friend bool operator==(const accept_result &,
                         const accept_result &) = default;
};

/// The result is not fresh enough. Call read_router::choose() again with
/// FailedChecks increased by one.
struct retry_routing {
  friend bool operator==(const retry_routing &,
                         const retry_routing &) = default;
};

/// The result must not be returned, and a retry cannot help because the current
/// log does not contain the position of the session.
struct refuse_result {
  std::error_code Code;

  friend bool operator==(const refuse_result &,
                         const refuse_result &) = default;
};

using read_verdict = std::variant<accept_result, retry_routing, refuse_result>;

} // namespace radishrelay::groups

#endif
