#ifndef RADISHRELAY_DAEMON_REQUEST_FORWARDER_H
#define RADISHRELAY_DAEMON_REQUEST_FORWARDER_H

#include "radishrelay/daemon/relay_outputs.h"
#include "radishrelay/daemon/request_task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace radishrelay::daemon {

/// Forwards requests to the host that has their transaction open, and accepts
/// requests that other hosts forward, by the JSON-RPC procedure "forward". The
/// caller's key is not sent, since the forwarding host has verified it.
class request_forwarder {
public:
  /// A forwarded task and its answer: the other host's, or "outcome unknown" if
  /// no valid answer came.
  struct ended_task {
    request_task_ptr Task;
    http_answer Answer;
  };

  explicit request_forwarder(relay_outputs &Outputs) : Outputs(Outputs) {}

  /// Forwards the task; finish() later returns its answer. Returns false if the
  /// request could not be queued and nothing was sent.
  bool send(const std::string &Address, const request_task_ptr &Task,
            base::time_point Now);

  /// Handles the result of a call. Returns nothing if the call is not from this
  /// class.
  std::optional<ended_task> finish(const peer_call_finished &Event);

  /// Decodes a forwarded request, with the route from this host's \p View.
  /// Returns nothing if the request was refused; the refusal has then been
  /// sent.
  std::optional<caller_request> accept(const peer_call_received &Call,
                                       const service_view_ptr &View,
                                       base::time_point Now);

  /// Sends the answer to the host that forwarded the request. Returns false if
  /// the request came directly from a caller.
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
