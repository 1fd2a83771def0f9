#ifndef RADISHRELAY_ACCOUNTS_KEY_VERIFIER_H
#define RADISHRELAY_ACCOUNTS_KEY_VERIFIER_H

#include "radishrelay/accounts/key_record.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::accounts {

/// The account and key id under which a request may run.
struct verified_key {
  base::account_id Account;
  std::string KeyId;

  friend bool operator==(const verified_key &, const verified_key &) = default;
};

/// Checks the key of each request against the granted keys.
///
/// Immutable; a new configuration makes a new verifier, so that a withdrawn
/// key fails with the first request after the change, also on open
/// connections. Safe to share between threads.
class key_verifier {
public:
  /// Refuses every key.
  key_verifier() = default;

  /// Fails with RecordMalformed when a key id, salt or digest is malformed, or
  /// one account has two keys of one id.
  static base::expected<key_verifier>
  create(const std::vector<key_record> &Records);

  /// Fails with Missing, Malformed, Unknown or SecretWrong; the failure never
  /// contains the text. An unknown key id takes as long as a wrong secret.
  [[nodiscard]] base::expected<verified_key>
  verify(std::string_view KeyText) const;

  /// The accounts and key ids, without salts and digests.
  [[nodiscard]] base::json dump() const;

private:
  /// Salt and digest as raw bytes.
  struct granted_key {
    base::account_id Account;
    std::string Salt;
    std::string Digest;
  };

  static base::failure recordFailure(const key_record &Record);
  base::failure add(const key_record &Record);

  /// By key id. Two accounts may use one key id; both are then compared.
  std::multimap<std::string, granted_key, std::less<>> Keys;
};

} // namespace radishrelay::accounts

#endif
