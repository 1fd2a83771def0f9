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
/// outlives the request. There is no stream operator and no dump, so that a
/// secret cannot reach a log.
struct client_key {
  std::string_view KeyId;
  std::string_view Secret;

  friend bool operator==(const client_key &, const client_key &) = default;
};

/// Longer texts are refused without parsing.
constexpr std::size_t MaxKeyTextBytes = 256;

/// True for 1 to 64 ASCII letters, digits and hyphens. Underscores are not
/// allowed because an underscore ends the id in a key text.
bool isKeyId(std::string_view Text);

/// Splits a key text into its parts. Fails with Missing or Malformed; the
/// failure does not contain the text.
base::expected<client_key> parseClientKey(std::string_view Text);

/// Returns the token of an Authorization header "Bearer TOKEN". Fails with
/// Missing or Malformed.
base::expected<std::string_view> bearerToken(std::string_view Header);

} // namespace radishrelay::accounts

#endif
