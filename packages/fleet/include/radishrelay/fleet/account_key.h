#ifndef RADISHRELAY_FLEET_ACCOUNT_KEY_H
#define RADISHRELAY_FLEET_ACCOUNT_KEY_H

#include <compare>
#include <string>

namespace radishrelay::fleet {

/// A key of a client account. Only a salted digest of the secret is part of
/// the configuration, never the secret itself.
struct account_key {
  /// The ID in the key's text form rr_ID_SECRET; unique in the fleet.
  std::string Id;
  std::string Salt;
  /// HMAC-SHA256 of the secret under the salt.
  std::string Digest;

  friend auto operator<=>(const account_key &, const account_key &) = default;
};

} // namespace radishrelay::fleet

#endif
