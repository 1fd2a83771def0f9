#ifndef RADISHRELAY_DAEMON_EVENT_LOOP_H
#define RADISHRELAY_DAEMON_EVENT_LOOP_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace radishrelay::daemon {

/// Takes the events of one file descriptor.
class io_handler {
public:
  virtual ~io_handler() = default;
  virtual void readable() = 0;
  virtual void writable() = 0;
};

/// Waits for events of file descriptors and for tasks of other threads.
///
/// All sessions of a host run on one thread: with a thread for each duty every
/// statement would cost several thread switches, which small hosts pay for in
/// latency.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Reports when \p Descriptor is readable, and when it is writable if
  /// \p WantsWrite.
  void add(int Descriptor, io_handler &Handler, bool WantsWrite);
  void change(int Descriptor, io_handler &Handler, bool WantsWrite);
  void remove(int Descriptor);

  /// Runs \p Task on the loop's thread; may be called from any thread.
  void post(std::function<void()> Task);
  /// Delivers what is due; waits for it until \p Deadline.
  void runOnce(base::time_point Deadline);

private:
  void runTasks();

  int Epoll = -1;
  int WakeUp = -1;
  std::mutex Mutex;
  std::vector<std::function<void()>> Tasks;
  /// Handlers removed while their events are being delivered.
  std::vector<io_handler *> Removed;
  std::vector<std::pair<int, io_handler *>> Handlers;
};

} // namespace radishrelay::daemon

#endif
