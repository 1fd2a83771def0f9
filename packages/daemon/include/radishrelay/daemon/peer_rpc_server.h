#ifndef RADISHRELAY_DAEMON_PEER_RPC_SERVER_H
#define RADISHRELAY_DAEMON_PEER_RPC_SERVER_H

#include "radishrelay/base/json.h"
#include "radishrelay/daemon/peer_authenticator.h"
#include "radishrelay/daemon/peer_method.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace radishrelay::daemon {

/// Executes a call of a peer and waits for its result; returns nothing if the
/// host could not execute the call in time. Called on several threads.
using peer_call_handler = std::function<std::optional<base::json>(
    peer_method, const base::json &Parameters)>;

/// Serves JSON-RPC calls of peers over HTTP on the peers' address.
///
/// libjsonrpccpp implements the protocol. Its HTTP server can only bind to all
/// addresses of the machine, so POCO's HTTP server is used instead, bound to
/// the address from the settings. Requests with a missing or wrong
/// authentication code get status 403.
class peer_rpc_server {
public:
  peer_rpc_server(const std::string &Address, peer_authenticator Authenticator,
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
