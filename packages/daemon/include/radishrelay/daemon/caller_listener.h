#ifndef RADISHRELAY_DAEMON_CALLER_LISTENER_H
#define RADISHRELAY_DAEMON_CALLER_LISTENER_H

#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/daemon/caller_connection.h"
#include "radishrelay/daemon/readiness_set.h"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <unordered_map>

namespace radishrelay::daemon {

/// Handles a request on the listener thread. Returns the answer if it is known
/// immediately; otherwise the answer must be passed to
/// caller_listener::sendAnswer later.
using request_handler =
    std::function<std::optional<http_answer>(http_request &&)>;

/// Called on the listener thread when a connection with a running request has
/// closed.
using disconnect_handler = std::function<void(caller_connection_id)>;

/// Serves HTTP/1.1 to callers; a single thread handles all connections.
class caller_listener {
public:
  /// \p Socket must be bound and listening; pass a
  /// Poco::Net::SecureServerSocket for TLS.
  caller_listener(const Poco::Net::ServerSocket &Socket,
                  request_handler OnRequest, disconnect_handler OnDisconnect);
  ~caller_listener();
  caller_listener(const caller_listener &) = delete;
  caller_listener &operator=(const caller_listener &) = delete;

  void start();

  /// Queues the answer to a running request; may be called from any thread.
  /// Drops it if the connection has closed.
  void sendAnswer(http_answer &&Answer);

  /// Closes the listening socket. Each open connection is closed after its next
  /// answer.
  void stopAccepting();

  /// Stops accepting and waits until the thread has ended: once no request is
  /// running and all answers are written, or at \p Deadline.
  void stop(base::time_point Deadline);

  [[nodiscard]] std::uint16_t port() const { return Port; }

  [[nodiscard]] std::size_t connectionCount() const { return OpenCount; }

private:
  void run();
  void accept();
  void handleReady(const ready_descriptor &Descriptor);
  void receiveFrom(caller_connection &Connection);
  void serve(caller_connection &Connection);
  bool serveNext(caller_connection &Connection);
  void writeAnswers();
  void writeTo(caller_connection &Connection);
  void close(caller_connection &Connection);
  [[nodiscard]] bool hasFinished() const;

  static constexpr std::size_t AnswerRingSize = 65536;

  Poco::Net::ServerSocket Socket;
  std::uint16_t Port;
  request_handler OnRequest;
  disconnect_handler OnDisconnect;
  readiness_set Readiness;
  base::bounded_ring<http_answer> Answers{AnswerRingSize};
  std::unordered_map<caller_connection_id, caller_connection_ptr> Connections;
  caller_connection_id NextConnection = 1;
  std::atomic<std::size_t> OpenCount{0};
  std::atomic<bool> Accepting{true};
  bool SocketOpen = true;
  std::atomic<bool> Stopping{false};
  std::atomic<std::int64_t> StopDeadline{0};
  std::thread Thread;
};

} // namespace radishrelay::daemon

#endif
