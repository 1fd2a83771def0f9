#ifndef RADISHRELAY_GROUPS_SESSION_ERROR_H
#define RADISHRELAY_GROUPS_SESSION_ERROR_H

#include <system_error>

namespace radishrelay::groups {

/// Reasons for which a session token is not accepted or not issued.
enum class session_error {
  /// Not a token of a known format.
  Malformed = 1,
  /// The authentication code does not match.
  Forged,
  /// Issued to another client account.
  ForeignAccount,
  /// Signed with a key that is not, or no longer, in the configuration.
  UnknownKey,
  /// The identifiers alone exceed the size limit of a token.
  TooLarge,
  /// The configuration has no key to sign with.
  NoKey,
};

const std::error_category &sessionCategory();

std::error_code make_error_code(session_error Error);

} // namespace radishrelay::groups

template <>
struct std::is_error_code_enum<radishrelay::groups::session_error>
    : std::true_type {};

#endif
