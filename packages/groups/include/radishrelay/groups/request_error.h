#ifndef RADISHRELAY_GROUPS_REQUEST_ERROR_H
#define RADISHRELAY_GROUPS_REQUEST_ERROR_H

#include <system_error>

namespace radishrelay::groups {

/// Errors with which a request ends.
enum class request_error {
  /// The backend server refused the statement.
  StatementFailed = 1,
  /// The idempotency key was used with another route or body.
  KeyReused,
  /// It is unknown whether the request took effect.
  OutcomeUnknown,
  /// The request could not be sent to a backend server.
  NotSent,
  /// The instance that received the request is not the primary.
  NotPrimary,
  /// The transaction no longer exists.
  TransactionLost,
  /// Another request of the transaction is still running.
  TransactionBusy,
};

const std::error_category &requestCategory();

std::error_code make_error_code(request_error Error);

} // namespace radishrelay::groups

template <>
struct std::is_error_code_enum<radishrelay::groups::request_error>
    : std::true_type {};

#endif
