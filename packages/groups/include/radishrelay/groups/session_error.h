#ifndef RADISHRELAY_GROUPS_SESSION_ERROR_H
#define RADISHRELAY_GROUPS_SESSION_ERROR_H

#include <system_error>

namespace radishrelay::groups {

/// Reasons for refusing or not issuing a session token or a transaction handle.
enum class session_error {
  /// The text has no known token format.
  Malformed = 1,
  /// The authentication code does not match.
  Forged,
  /// The token was issued to another client account.
  ForeignAccount,
  /// The signing key is not, or no longer, in the configuration.
  UnknownKey,
  /// The identifiers alone exceed the size limit.
  TooLarge,
  /// The configuration has no signing key.
  NoKey,
};

const std::error_category &sessionCategory();

std::error_code make_error_code(session_error Error);

} // namespace radishrelay::groups

template <>
struct std::is_error_code_enum<radishrelay::groups::session_error>
    : std::true_type {};

#endif
