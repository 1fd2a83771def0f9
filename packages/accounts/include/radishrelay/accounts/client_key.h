#ifndef RADISHRELAY_ACCOUNTS_CLIENT_KEY_H
#define RADISHRELAY_ACCOUNTS_CLIENT_KEY_H

#include "radishrelay/accounts/key_error.h"
#include "radishrelay/base/expected.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace radishrelay::accounts {

/// The two parts of a key text rr_<keyid>_<secret>.
///
/// The parts are views of the caller's text, so that no copy of a secret
/// outlives the request. There is no stream operator and no dump.
struct client_key {
  std::string_view KeyId;
  std::string_view Secret;

  friend bool operator==(const client_key &, const client_key &) = default;
};

/// Longest key text in bytes; longer ones are refused unread.
constexpr std::size_t MaxKeyTextBytes = 256;

/// True for a key id of 1 to 64 letters, digits and hyphens. An underscore
/// would make the end of the id ambiguous.
bool isKeyId(std::string_view Text);

/// Splits a key text. Fails with Missing or Malformed; the failure does not
/// contain the text.
base::expected<client_key> parseClientKey(std::string_view Text);

/// Returns the token of an Authorization header "Bearer TOKEN". Fails with
/// Missing or Malformed.
base::expected<std::string_view> bearerToken(std::string_view Header);

} // namespace radishrelay::accounts

#endif
