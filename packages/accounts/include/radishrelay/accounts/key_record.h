#ifndef RADISHRELAY_ACCOUNTS_KEY_RECORD_H
#define RADISHRELAY_ACCOUNTS_KEY_RECORD_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <string>

namespace radishrelay::accounts {

/// A granted key as stored in the configuration, without the secret.
struct key_record {
  base::account_id Account;
  std::string KeyId;
  /// 16 random bytes in base64url.
  std::string Salt;
  /// HMAC-SHA256(salt bytes, secret text) in base64url.
  std::string Digest;

  friend auto operator<=>(const key_record &, const key_record &) = default;
};

} // namespace radishrelay::accounts

#endif
