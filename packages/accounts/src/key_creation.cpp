#include "radishrelay/accounts/key_creation.h"

#include "radishrelay/accounts/client_key.h"
#include "radishrelay/base/digest.h"

namespace radishrelay::accounts {

base::expected<created_key> createKey(const base::account_id &Account,
                                      const std::string &KeyId,
                                      std::string_view RandomBytes) {
  if (!isKeyId(KeyId) || RandomBytes.size() != KeyRandomBytes)
    return base::failure{make_error_code(key_error::Malformed), "create key",
                         Account.str(),
                         "invalid key id or wrong number of random bytes"};
  std::string Secret =
      base::encodeBase64Url(RandomBytes.substr(0, KeySecretBytes));
  std::string_view Salt = RandomBytes.substr(KeySecretBytes);
  created_key Key;
  Key.Text = "rr_" + KeyId + "_" + Secret;
  Key.Record = {Account, KeyId, base::encodeBase64Url(Salt),
                base::encodeBase64Url(base::hmacSha256(Salt, Secret))};
  return Key;
}

} // namespace radishrelay::accounts
