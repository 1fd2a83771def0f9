#ifndef RADISHRELAY_FLEET_ACCOUNT_KEY_H
#define RADISHRELAY_FLEET_ACCOUNT_KEY_H

#include <compare>
#include <string>

namespace radishrelay::fleet {

/// A key of a client account. The secret itself is not part of the
/// configuration.
struct account_key {
  /// Identifier inside the key's text rr_ID_SECRET; unique in the fleet.
  std::string Id;
  std::string Salt;
  /// HMAC-SHA256 of the secret under the salt.
  std::string Digest;

  friend auto operator<=>(const account_key &, const account_key &) = default;
};

} // namespace radishrelay::fleet

#endif
