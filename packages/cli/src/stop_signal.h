#ifndef RADISHRELAY_CLI_SRC_STOP_SIGNAL_H
#define RADISHRELAY_CLI_SRC_STOP_SIGNAL_H

#include <csignal>

namespace radishrelay::cli {

/// Blocks SIGTERM and SIGINT in this thread and those started later, so that
/// wait() receives them. Construct it before any thread is started.
class stop_signal {
public:
  stop_signal();

  /// Waits until the process is asked to stop.
  void wait() const;

private:
  sigset_t Signals{};
};

} // namespace radishrelay::cli

#endif
