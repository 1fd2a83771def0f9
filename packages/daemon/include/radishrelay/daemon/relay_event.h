#ifndef RADISHRELAY_DAEMON_RELAY_EVENT_H
#define RADISHRELAY_DAEMON_RELAY_EVENT_H

#include "radishrelay/backend/backend_event.h"
#include "radishrelay/daemon/caller_request.h"
#include "radishrelay/daemon/operator_message.h"
#include "radishrelay/daemon/peer_rpc_client.h"
#include "radishrelay/daemon/platform_threads.h"

#include <cstdint>
#include <string>
#include <variant>

namespace radishrelay::daemon {

/// The caller of a running request has closed its connection.
struct caller_disconnected {
  caller_connection_id Connection = 0;
};

/// A datagram from another host, already authenticated.
struct datagram_received {
  std::string Message;
  /// "IP:PORT".
  std::string Sender;
};

/// Number of a call that waits for a reply; unique in this process.
using reply_id = std::uint64_t;

/// A procedure call from another host; the reply goes to
/// relay_outputs::replyToPeer().
struct peer_call_received {
  reply_id Reply = 0;
  peer_method Method = peer_method::Forward;
  base::json Parameters;
};

/// A request from an operator; the reply goes to
/// relay_outputs::replyToOperator().
struct operator_request_received {
  reply_id Reply = 0;
  operator_request Request;
};

/// The process was asked to stop; starts the graceful shutdown.
struct stop_requested {};

/// Any event that the decision thread handles.
using relay_event =
    std::variant<caller_request, caller_disconnected, backend::backend_event,
                 platform_event, datagram_received, peer_call_received,
                 peer_call_finished, operator_request_received, stop_requested>;

} // namespace radishrelay::daemon

#endif
