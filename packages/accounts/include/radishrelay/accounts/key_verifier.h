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

/// The account and key id of a request whose key was verified.
struct verified_key {
  base::account_id Account;
  std::string KeyId;

  friend bool operator==(const verified_key &, const verified_key &) = default;
};

/// Checks the key of each request against the granted keys.
///
/// Immutable and safe to share between threads. Each configuration gets a new
/// verifier, so that a withdrawn key fails from the first request after the
/// change, even on open connections.
class key_verifier {
public:
  /// Creates a verifier that refuses every key.
  key_verifier() = default;

  /// Fails with RecordMalformed if a key id, salt or digest is malformed, or an
  /// account has two keys with one id.
  static base::expected<key_verifier>
  create(const std::vector<key_record> &Records);

  /// Fails with Missing, Malformed, Unknown or SecretWrong; the failure never
  /// contains the text. An unknown key id takes as long as a wrong secret, so
  /// that the time does not reveal which key ids exist.
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

  /// Granted keys by key id. Two accounts may use the same key id; verify then
  /// compares the secret with both.
  std::multimap<std::string, granted_key, std::less<>> Keys;
};

} // namespace radishrelay::accounts

#endif
