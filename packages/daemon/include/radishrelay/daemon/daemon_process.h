#ifndef RADISHRELAY_DAEMON_DAEMON_PROCESS_H
#define RADISHRELAY_DAEMON_DAEMON_PROCESS_H

#include "radishrelay/daemon/daemon_settings.h"

#include <memory>

namespace radishrelay::daemon {

/// The running daemon: its threads, rings and listeners.
class daemon_process {
public:
  /// Opens the listeners and starts the threads. Throws Poco::Exception when
  /// an address cannot be used.
  explicit daemon_process(const daemon_settings &Settings);
  ~daemon_process();
  daemon_process(const daemon_process &) = delete;
  daemon_process &operator=(const daemon_process &) = delete;

  /// Asks for a graceful shutdown; may be called from any thread.
  void requestStop();

  /// Waits until the shutdown has ended.
  void wait();

private:
  struct implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace radishrelay::daemon

#endif
