#ifndef RADISHRELAY_DAEMON_PEER_RPC_CLIENT_H
#define RADISHRELAY_DAEMON_PEER_RPC_CLIENT_H

#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"
#include "radishrelay/daemon/peer_authenticator.h"
#include "radishrelay/daemon/peer_method.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace radishrelay::daemon {

/// A JSON-RPC call to a peer.
struct peer_call {
  /// Chosen by the caller; repeated in the peer_call_finished.
  std::uint64_t Id = 0;
  std::string Address;
  peer_method Method = peer_method::Forward;
  base::json Parameters;
  base::time_point Deadline;
};

/// The result of a peer_call, or the reason why it failed.
struct peer_call_finished {
  std::uint64_t Id = 0;
  base::expected<base::json> Result = base::json();
};

/// Receives the results; called on the client's threads.
using peer_result_sink = std::function<void(peer_call_finished &&)>;

/// Calls peers by JSON-RPC on several threads. All calls to one address run on
/// the same thread and keep their order, so a peer that does not answer delays
/// only the peers that share its thread.
class peer_rpc_client {
public:
  peer_rpc_client(peer_authenticator Authenticator, peer_result_sink Sink);
  ~peer_rpc_client();
  peer_rpc_client(const peer_rpc_client &) = delete;
  peer_rpc_client &operator=(const peer_rpc_client &) = delete;

  /// Queues a call. Returns false if the queue is full; the sink is then not
  /// called.
  bool call(peer_call &&Call);

  void stop();

private:
  struct worker {
    worker();
    base::bounded_ring<peer_call> Calls;
    std::thread Thread;
  };

  void run(worker &Worker);

  peer_authenticator Authenticator;
  peer_result_sink Sink;
  std::vector<std::unique_ptr<worker>> Workers;
};

} // namespace radishrelay::daemon

#endif
