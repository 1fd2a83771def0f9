#ifndef RADISHRELAY_GROUPS_SIGNED_ENVELOPE_H
#define RADISHRELAY_GROUPS_SIGNED_ENVELOPE_H

#include "radishrelay/base/expected.h"
#include "radishrelay/groups/signing_key.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::groups {

/// Seals and opens authenticated texts under keys that are rotated: the first
/// key signs, all keys verify.
///
/// The purpose enters the authentication code, so that a session token is
/// never accepted as a transaction handle under the same key.
class signed_envelope {
public:
  signed_envelope(std::string Purpose, std::vector<signing_key> Keys);

  /// Returns the base64url form of \p Payload with key id and HMAC-SHA256.
  /// Fails with session_error::NoKey.
  [[nodiscard]] base::expected<std::string>
  seal(std::string_view Payload) const;

  /// Returns the payload. Fails with session_error Malformed, UnknownKey or
  /// Forged.
  [[nodiscard]] base::expected<std::string> open(std::string_view Text) const;

  /// Ids of the keys, the signing one first; never secrets.
  [[nodiscard]] std::vector<std::string> keyIds() const;

private:
  [[nodiscard]] std::string code(const signing_key &Key,
                                 std::string_view Message) const;
  [[nodiscard]] const signing_key *findKey(std::string_view Id) const;

  std::string Purpose;
  std::vector<signing_key> Keys;
};

} // namespace radishrelay::groups

#endif
