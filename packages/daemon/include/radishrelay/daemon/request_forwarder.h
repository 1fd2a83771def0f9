#ifndef RADISHRELAY_DAEMON_REQUEST_FORWARDER_H
#define RADISHRELAY_DAEMON_REQUEST_FORWARDER_H

#include "radishrelay/daemon/relay_outputs.h"
#include "radishrelay/daemon/request_task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace radishrelay::daemon {

/// Passes requests to the host that holds their transaction, and takes those
/// that other hosts pass on, by the JSON-RPC procedure "forward". The caller's
/// key is not sent; the first host has verified it.
class request_forwarder {
public:
  /// A task whose answer has come from the other host.
  struct ended_task {
    request_task_ptr Task;
    http_answer Answer;
  };

  explicit request_forwarder(relay_outputs &Outputs) : Outputs(Outputs) {}

  /// Ends later through finish(), unless false is returned: nothing was sent.
  bool send(const std::string &Address, const request_task_ptr &Task,
            base::time_point Now);

  /// Takes the end of a call; empty when it is not one of this class.
  std::optional<ended_task> finish(const peer_call_finished &Event);

  /// Rebuilds the request that another host sent, from this host's own view.
  /// A refusal has already been replied.
  std::optional<caller_request> accept(const peer_call_received &Call,
                                       const service_view_ptr &View,
                                       base::time_point Now);

  /// Sends the answer to the host from which its request came; false when the
  /// request came from a caller.
  bool replyToPeer(const http_answer &Answer, base::time_point ReceivedAt);

private:
  struct sent_task {
    request_task_ptr Task;
    base::time_point SentAt;
  };

  relay_outputs &Outputs;
  std::map<std::uint64_t, sent_task> Sent;
  std::map<caller_connection_id, reply_id> Received;
  std::uint64_t LastCall = 0;
  std::uint64_t LastReceived = 0;
};

} // namespace radishrelay::daemon

#endif
