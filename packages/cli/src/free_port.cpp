#include "free_port.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

#include <unistd.h>

namespace radishrelay::cli {

namespace {

/// Below the range from which the kernel takes the ports of outgoing
/// connections, so that none of them can take a chosen port meanwhile.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint32_t PortCount = 12000;
/// Programs that run at the same time start their search at different ports.
constexpr std::uint32_t ProcessStride = 97;

bool isFree(std::uint16_t Port) {
  try {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

std::uint16_t findFreePort() {
  static std::uint32_t Next =
      static_cast<std::uint32_t>(getpid()) * ProcessStride;
  while (true) {
    auto Port = static_cast<std::uint16_t>(FirstPort + Next++ % PortCount);
    if (isFree(Port))
      return Port;
  }
}

} // namespace radishrelay::cli
