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

/// Handles a request on the listener thread. Returns an answer that is known
/// at once, or nothing when the answer comes later through sendAnswer.
using request_handler =
    std::function<std::optional<http_answer>(http_request &&)>;

/// Told on the listener thread when a connection with a running request has
/// closed.
using disconnect_handler = std::function<void(caller_connection_id)>;

/// Serves HTTP/1.1 to callers on one thread, without a thread per connection.
class caller_listener {
public:
  /// \p Socket is bound and listening; a Poco::Net::SecureServerSocket gives
  /// TLS.
  caller_listener(const Poco::Net::ServerSocket &Socket,
                  request_handler OnRequest, disconnect_handler OnDisconnect);
  ~caller_listener();
  caller_listener(const caller_listener &) = delete;
  caller_listener &operator=(const caller_listener &) = delete;

  void start();

  /// Queues the answer to a running request; may be called from any thread.
  void sendAnswer(http_answer &&Answer);

  /// Closes the listening socket; open connections go on, and each is closed
  /// after its next answer.
  void stopAccepting();

  /// Ends the thread after all queued answers were written or \p Deadline has
  /// passed.
  void stop(base::time_point Deadline);

  /// Port that the listener is bound to.
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
