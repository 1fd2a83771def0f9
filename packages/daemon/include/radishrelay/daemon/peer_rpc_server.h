#ifndef RADISHRELAY_DAEMON_PEER_RPC_SERVER_H
#define RADISHRELAY_DAEMON_PEER_RPC_SERVER_H

#include "radishrelay/base/json.h"
#include "radishrelay/daemon/peer_method.h"
#include "radishrelay/daemon/peer_seal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishrelay::daemon {

/// Executes a call of a peer and waits for its result; nothing means that the
/// host could not execute it in time. Called on several threads.
using peer_call_handler = std::function<std::optional<base::json>(
    peer_method, const base::json &Parameters)>;

/// Serves the peers' JSON-RPC calls over HTTP on the peers' address.
///
/// The protocol is libjsonrpccpp's. Its own HTTP server binds to all addresses
/// of the machine, so the transport is POCO's, bound to the address from the
/// settings. Requests without the right authentication code get 403.
class peer_rpc_server {
public:
  peer_rpc_server(const std::string &Address, peer_seal Seal,
                  peer_call_handler Handler);
  ~peer_rpc_server();
  peer_rpc_server(const peer_rpc_server &) = delete;
  peer_rpc_server &operator=(const peer_rpc_server &) = delete;

  void stop();

  [[nodiscard]] std::uint16_t port() const;

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace radishrelay::daemon

#endif
