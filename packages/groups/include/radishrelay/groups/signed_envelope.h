#ifndef RADISHRELAY_GROUPS_SIGNED_ENVELOPE_H
#define RADISHRELAY_GROUPS_SIGNED_ENVELOPE_H

#include "radishrelay/base/expected.h"
#include "radishrelay/groups/signing_key.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::groups {

/// Signs and verifies payloads with HMAC-SHA256. Keys can be rotated: the first
/// key signs, all keys verify.
///
/// The purpose is part of the signed message, so that a session token is never
/// accepted as a transaction handle under the same key.
class signed_envelope {
public:
  signed_envelope(std::string Purpose, std::vector<signing_key> Keys);

  /// Returns key id, \p Payload and HMAC-SHA256, encoded as base64url. Fails
  /// with session_error NoKey, or TooLarge when the key id exceeds 255 bytes.
  [[nodiscard]] base::expected<std::string>
  seal(std::string_view Payload) const;

  /// Verifies \p Text and returns its payload. Fails with session_error
  /// Malformed, UnknownKey or Forged.
  [[nodiscard]] base::expected<std::string> open(std::string_view Text) const;

  /// Returns the ids of the keys, the signing key first; never the secrets.
  [[nodiscard]] std::vector<std::string> keyIds() const;

private:
  [[nodiscard]] std::string authenticationCode(const signing_key &Key,
                                               std::string_view Message) const;
  [[nodiscard]] const signing_key *findKey(std::string_view Id) const;

  std::string Purpose;
  std::vector<signing_key> Keys;
};

} // namespace radishrelay::groups

#endif
