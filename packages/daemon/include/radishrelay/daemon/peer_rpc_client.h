#ifndef RADISHRELAY_DAEMON_PEER_RPC_CLIENT_H
#define RADISHRELAY_DAEMON_PEER_RPC_CLIENT_H

#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"
#include "radishrelay/daemon/peer_method.h"
#include "radishrelay/daemon/peer_seal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace radishrelay::daemon {

/// A call to a peer.
struct peer_call {
  /// Chosen by the sender.
  std::uint64_t Id = 0;
  std::string Address;
  peer_method Method = peer_method::Forward;
  base::json Parameters;
  base::time_point Deadline;
};

/// The end of a peer_call.
struct peer_call_finished {
  std::uint64_t Id = 0;
  base::expected<base::json> Result = base::json();
};

/// Takes the results; called on the client's threads.
using peer_result_sink = std::function<void(peer_call_finished &&)>;

/// Calls peers by JSON-RPC. Calls to one peer keep their order; a peer that
/// does not answer delays only the peers that share its thread.
class peer_rpc_client {
public:
  peer_rpc_client(peer_seal Seal, peer_result_sink Sink);
  ~peer_rpc_client();
  peer_rpc_client(const peer_rpc_client &) = delete;
  peer_rpc_client &operator=(const peer_rpc_client &) = delete;

  /// Returns false when too many calls wait; the sink is then not called.
  bool call(peer_call &&Call);

  void stop();

private:
  struct lane {
    lane();
    base::bounded_ring<peer_call> Calls;
    std::thread Thread;
  };

  void run(lane &Lane);

  peer_seal Seal;
  peer_result_sink Sink;
  std::vector<std::unique_ptr<lane>> Lanes;
};

} // namespace radishrelay::daemon

#endif
