#ifndef RADISHRELAY_DAEMON_DAEMON_PROCESS_H
#define RADISHRELAY_DAEMON_DAEMON_PROCESS_H

#include "radishrelay/daemon/daemon_settings.h"

#include <memory>

namespace radishrelay::daemon {

/// Owns the daemon's threads, event queues and listeners, and connects them
/// with the relay that makes the decisions.
class daemon_process {
public:
  /// Opens the listeners and starts the threads. Throws Poco::Exception if an
  /// address cannot be bound.
  explicit daemon_process(const daemon_settings &Settings);
  ~daemon_process();
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;

  /// Requests a graceful shutdown; may be called from any thread.
  void requestStop();

  /// Blocks until the graceful shutdown is complete.
  void wait();

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace radishrelay::daemon

#endif
