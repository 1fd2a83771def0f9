#ifndef RADISHRELAY_DAEMON_PEER_AUTHENTICATOR_H
#define RADISHRELAY_DAEMON_PEER_AUTHENTICATOR_H

#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Authenticates messages between hosts by HMAC-SHA-256 with a shared secret.
class peer_authenticator {
public:
  explicit peer_authenticator(std::string Secret);

  /// Returns the hexadecimal authentication code of \p Message.
  [[nodiscard]] std::string authenticationCode(std::string_view Message) const;

  /// Checks an authentication code in constant time.
  [[nodiscard]] bool matches(std::string_view Message,
                             std::string_view Code) const;

  /// Returns \p Message followed by a truncated binary authentication code.
  [[nodiscard]] std::string signDatagram(std::string_view Message) const;

  /// Returns the message without its authentication code, or nothing if the
  /// code is wrong.
  [[nodiscard]] std::optional<std::string>
  verifyDatagram(std::string_view Datagram) const;

private:
  std::string Secret;
};

} // namespace radishrelay::daemon

#endif
