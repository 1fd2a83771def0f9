#ifndef RADISHRELAY_DAEMON_EVENT_LOOP_H
#define RADISHRELAY_DAEMON_EVENT_LOOP_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace radishrelay::daemon {

/// Interface for the events of one file descriptor.
class io_handler {
public:
  virtual ~io_handler() = default;
  virtual void readable() = 0;
  virtual void writable() = 0;
};

/// Dispatches the events of file descriptors, and tasks that other threads
/// post, on one thread.
///
/// All sessions of a host run on this thread. With separate threads for
/// clients, backend servers and decisions, every statement would need several
/// thread switches, which add latency on small hosts.
class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Calls \p Handler when \p Descriptor is readable, and if \p WantsWrite also
  /// when it is writable. Throws std::system_error.
  void add(int Descriptor, io_handler &Handler, bool WantsWrite);
  void change(int Descriptor, io_handler &Handler, bool WantsWrite);
  void remove(int Descriptor);

  /// Runs \p Task on the loop's thread; may be called from any thread.
  void post(std::function<void()> Task);
  /// Waits for events until \p Deadline, but not more than one second, and
  /// dispatches those that have occurred.
  void runOnce(base::time_point Deadline);

private:
  void runTasks();

  int Epoll = -1;
  int WakeUp = -1;
  std::mutex Mutex;
  std::vector<std::function<void()>> Tasks;
  /// Handlers removed during the current dispatch, whose pending events are
  /// skipped.
  std::vector<io_handler *> Removed;
  std::vector<std::pair<int, io_handler *>> Handlers;
};

} // namespace radishrelay::daemon

#endif
