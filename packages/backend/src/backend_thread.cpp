#include "radishrelay/backend/backend_thread.h"

#include "backend_loop.h"

#include <pthread.h>

#include <thread>

namespace radishrelay::backend {

struct backend_thread::state {
  state(const backend_thread_options &Options, event_sink Sink)
      : Options(Options), Commands(Options.CommandCapacity),
        Loop(this->Options, Commands, Poller, std::move(Sink)),
        Thread([this] { Loop.run(); }) {
    // At most 15 bytes; shown by the tools of the system.
    pthread_setname_np(Thread.native_handle(), "backend");
  }

  backend_thread_options Options;
  base::bounded_ring<backend_command> Commands;
  detail::poller Poller;
  detail::backend_loop Loop;
  std::thread Thread;
};

backend_thread::backend_thread(const backend_thread_options &Options,
                               event_sink Sink)
    : State(std::make_unique<state>(Options, std::move(Sink))) {}

backend_thread::~backend_thread() { stop(); }

bool backend_thread::submit(backend_command &&Command) {
  if (!State->Commands.tryPush(std::move(Command)))
    return false;
  State->Poller.wake();
  return true;
}

void backend_thread::stop() {
  State->Commands.close();
  State->Poller.wake();
  if (State->Thread.joinable())
    State->Thread.join();
}

} // namespace radishrelay::backend
