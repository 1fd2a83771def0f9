#include "radishrelay/daemon/peer_authenticator.h"

#include "radishrelay/base/digest.h"

#include <utility>

namespace radishrelay::daemon {

namespace {

/// 128 bits make forgery infeasible and keep datagrams small.
constexpr std::size_t DatagramCodeBytes = 16;

} // namespace

peer_authenticator::peer_authenticator(std::string Secret)
    : Secret(std::move(Secret)) {}

std::string
peer_authenticator::authenticationCode(std::string_view Message) const {
  return base::encodeHex(base::hmacSha256(Secret, Message));
}

bool peer_authenticator::matches(std::string_view Message,
                                 std::string_view Code) const {
  return base::constantTimeEqual(authenticationCode(Message), Code);
}

std::string peer_authenticator::signDatagram(std::string_view Message) const {
  std::string Datagram(Message);
  Datagram += base::hmacSha256(Secret, Message).substr(0, DatagramCodeBytes);
  return Datagram;
}

std::optional<std::string>
peer_authenticator::verifyDatagram(std::string_view Datagram) const {
  if (Datagram.size() < DatagramCodeBytes)
    return std::nullopt;
  std::string_view Message =
      Datagram.substr(0, Datagram.size() - DatagramCodeBytes);
  std::string Code =
      base::hmacSha256(Secret, Message).substr(0, DatagramCodeBytes);
  if (!base::constantTimeEqual(Code, Datagram.substr(Message.size())))
    return std::nullopt;
  return std::string(Message);
}

} // namespace radishrelay::daemon
