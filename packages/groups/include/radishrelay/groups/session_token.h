#ifndef RADISHRELAY_GROUPS_SESSION_TOKEN_H
#define RADISHRELAY_GROUPS_SESSION_TOKEN_H

#include "radishrelay/base/expected.h"
#include "radishrelay/groups/session_state.h"
#include "radishrelay/groups/signed_envelope.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::groups {

/// Largest size of a session token in bytes, as sent in the header.
inline constexpr std::size_t MaxSessionTokenBytes = 2048;

/// Encodes and verifies the value of the header Radishrelay-Session.
class session_token {
public:
  /// \p Keys from the configuration; the first one signs.
  explicit session_token(std::vector<signing_key> Keys);

  /// Returns the token for \p State. Positions that do not fit are forgotten
  /// as described at session_state. Fails with session_error NoKey or TooLarge.
  [[nodiscard]] base::expected<std::string> encode(session_state State) const;

  /// Returns the state that \p Text holds if it is authentic and was issued to
  /// \p Account. Fails with session_error Malformed, UnknownKey, Forged or
  /// ForeignAccount.
  [[nodiscard]] base::expected<session_state>
  decode(std::string_view Text, const base::account_id &Account) const;

  [[nodiscard]] base::json dump() const;

private:
  signed_envelope Envelope;
};

} // namespace radishrelay::groups

#endif
