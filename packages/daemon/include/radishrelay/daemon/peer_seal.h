#ifndef RADISHRELAY_DAEMON_PEER_SEAL_H
#define RADISHRELAY_DAEMON_PEER_SEAL_H

#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Authenticates messages between hosts with a shared secret.
class peer_seal {
public:
  explicit peer_seal(std::string Secret);

  /// Returns the hexadecimal authentication code of \p Message.
  [[nodiscard]] std::string codeOf(std::string_view Message) const;

  /// Compares in constant time.
  [[nodiscard]] bool matches(std::string_view Message,
                             std::string_view Code) const;

  /// Appends a truncated binary code, for datagrams.
  [[nodiscard]] std::string sealDatagram(std::string_view Message) const;

  /// Returns the message without its code, or nothing when the code is wrong.
  [[nodiscard]] std::optional<std::string>
  openDatagram(std::string_view Datagram) const;

private:
  std::string Secret;
};

} // namespace radishrelay::daemon

#endif
