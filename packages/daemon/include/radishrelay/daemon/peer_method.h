#ifndef RADISHRELAY_DAEMON_PEER_METHOD_H
#define RADISHRELAY_DAEMON_PEER_METHOD_H

#include <array>
#include <cstddef>
#include <string_view>

namespace radishrelay::daemon {

/// JSON-RPC procedures between hosts.
enum class peer_method {
  ConfigurationSince,
  ConfigurationStore,
  Forward,
};

inline constexpr std::array<std::string_view, 3> PeerMethodNames{
    "configuration_since", "configuration_store", "forward"};

constexpr std::string_view methodName(peer_method Method) {
  return PeerMethodNames[static_cast<std::size_t>(Method)];
}

} // namespace radishrelay::daemon

#endif
