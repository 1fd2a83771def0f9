#include "stop_signal.h"

namespace radishrelay::cli {

stop_signal::stop_signal() {
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void stop_signal::wait() const {
  int Received = 0;
  sigwait(&Signals, &Received);
}

} // namespace radishrelay::cli
