#ifndef RADISHRELAY_GROUPS_SESSION_TOKEN_CODEC_H
#define RADISHRELAY_GROUPS_SESSION_TOKEN_CODEC_H

#include "radishrelay/base/expected.h"
#include "radishrelay/groups/session_positions.h"
#include "radishrelay/groups/signed_envelope.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::groups {

/// Maximum size of a session token in bytes, as sent in the header.
inline constexpr std::size_t MaxSessionTokenBytes = 2048;

/// Encodes and verifies session tokens, the values of the header
/// Radishrelay-Session.
class session_token_codec {
public:
  /// \p Keys are the keys of the configuration; the first one signs.
  explicit session_token_codec(std::vector<signing_key> Keys);

  /// Returns the token for \p State. Positions that do not fit into
  /// MaxSessionTokenBytes are evicted as described at session_positions. Fails
  /// with session_error NoKey or TooLarge.
  [[nodiscard]] base::expected<std::string>
  encode(session_positions State) const;

  /// Returns the positions in the token \p Text if it is authentic and was
  /// issued to \p Account. Fails with session_error Malformed, UnknownKey,
  /// Forged or ForeignAccount.
  [[nodiscard]] base::expected<session_positions>
  decode(std::string_view Text, const base::account_id &Account) const;

  [[nodiscard]] base::json dump() const;

private:
  signed_envelope Envelope;
};

} // namespace radishrelay::groups

#endif
