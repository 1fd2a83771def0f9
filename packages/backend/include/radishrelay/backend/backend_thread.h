#ifndef RADISHRELAY_BACKEND_BACKEND_THREAD_H
#define RADISHRELAY_BACKEND_BACKEND_THREAD_H

#include "radishrelay/backend/backend_command.h"
#include "radishrelay/backend/backend_event.h"
#include "radishrelay/backend/backend_thread_options.h"

#include <functional>
#include <memory>

namespace radishrelay::backend {

/// Executes commands on connections to backend servers.
///
/// One thread serves all connections through non-blocking libpq calls. It
/// decides nothing: each run_statements gives exactly one run_finished, each
/// open_connection exactly one connection_opened or connection_closed, and
/// each opened connection exactly one connection_closed at its end.
class backend_thread {
public:
  /// Receives events on the backend thread; must not wait for it.
  using event_sink = std::function<void(backend_event &&)>;

  /// Starts the thread. Throws std::system_error when the system refuses.
  backend_thread(const backend_thread_options &Options, event_sink Sink);

  /// Calls stop().
  ~backend_thread();

  backend_thread(const backend_thread &) = delete;
  backend_thread &operator=(const backend_thread &) = delete;

  /// Hands over a command. Returns false, and leaves \p Command as it is, when
  /// too many wait or the thread has been stopped; no event follows then.
  bool submit(backend_command &&Command);

  /// Ends all runs with the error Closed, closes all connections and waits for
  /// the thread. All events have been delivered when it returns.
  void stop();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace radishrelay::backend

#endif
