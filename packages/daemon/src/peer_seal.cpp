#include "radishrelay/daemon/peer_seal.h"

#include "radishrelay/base/digest.h"

#include <utility>

namespace radishrelay::daemon {

namespace {

/// 128 bits keep a datagram small and a forgery infeasible.
constexpr std::size_t DatagramCodeBytes = 16;

} // namespace

peer_seal::peer_seal(std::string Secret) : Secret(std::move(Secret)) {}

std::string peer_seal::codeOf(std::string_view Message) const {
  return base::encodeHex(base::hmacSha256(Secret, Message));
}

bool peer_seal::matches(std::string_view Message, std::string_view Code) const {
  return base::constantTimeEqual(codeOf(Message), Code);
}

std::string peer_seal::sealDatagram(std::string_view Message) const {
  std::string Datagram(Message);
  Datagram += base::hmacSha256(Secret, Message).substr(0, DatagramCodeBytes);
  return Datagram;
}

std::optional<std::string>
peer_seal::openDatagram(std::string_view Datagram) const {
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
