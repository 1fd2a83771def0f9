#ifndef RADISHRELAY_ACCOUNTS_KEY_ERROR_H
#define RADISHRELAY_ACCOUNTS_KEY_ERROR_H

#include <system_error>

namespace radishrelay::accounts {

/// Why a client key or its configured record is not accepted.
enum class key_error {
  /// The request has no key.
  Missing = 1,
  /// The text is not of the form rr_<keyid>_<secret>.
  Malformed,
  /// No account has a key with this id, or the key was withdrawn.
  Unknown,
  /// The secret does not belong to the key id.
  SecretWrong,
  /// A configured key id, salt or digest is malformed, or an account has two
  /// keys with one id.
  RecordMalformed,
};

const std::error_category &keyCategory();

std::error_code make_error_code(key_error Error);

} // namespace radishrelay::accounts

template <>
struct std::is_error_code_enum<radishrelay::accounts::key_error>
    : std::true_type {};

#endif
