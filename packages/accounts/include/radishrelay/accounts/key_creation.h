#ifndef RADISHRELAY_ACCOUNTS_KEY_CREATION_H
#define RADISHRELAY_ACCOUNTS_KEY_CREATION_H

#include "radishrelay/accounts/key_record.h"
#include "radishrelay/base/expected.h"

#include <string>
#include <string_view>

namespace radishrelay::accounts {

/// A new client key: the text for the caller and the record for the
/// configuration.
struct created_key {
  /// rr_<keyid>_<secret>; shown once and not stored.
  std::string Text;
  key_record Record;

  friend bool operator==(const created_key &, const created_key &) = default;
};

/// Number of random bytes that createKey uses: the secret, then the salt.
constexpr std::size_t KeySecretBytes = 32;
constexpr std::size_t KeySaltBytes = 16;
constexpr std::size_t KeyRandomBytes = KeySecretBytes + KeySaltBytes;

/// Creates a key for \p Account from exactly KeyRandomBytes bytes of
/// base::secureRandomBytes. Fails with Malformed if the key id is not valid
/// or the number of bytes differs.
base::expected<created_key> createKey(const base::account_id &Account,
                                      const std::string &KeyId,
                                      std::string_view RandomBytes);

} // namespace radishrelay::accounts

#endif
