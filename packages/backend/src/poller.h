#ifndef RADISHRELAY_BACKEND_SRC_POLLER_H
#define RADISHRELAY_BACKEND_SRC_POLLER_H

#include "radishrelay/base/monotonic_clock.h"

#include <sys/epoll.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <span>

namespace radishrelay::backend::detail {

/// Waits for sockets, a deadline, or a call of wake() from another thread.
class poller {
public:
  /// Key of the internal wake-up descriptor; never reported.
  static constexpr std::uint64_t WakeKey = 0;

  poller();
  ~poller();
  poller(const poller &) = delete;
  poller &operator=(const poller &) = delete;

  void add(int Fd, std::uint64_t Key, std::uint32_t Events);
  void modify(int Fd, std::uint64_t Key, std::uint32_t Events);
  void remove(int Fd);

  /// Returns the sockets that are ready. Without a deadline it waits until a
  /// socket is ready or wake() is called.
  std::span<const epoll_event> wait(std::optional<base::time_point> Deadline);

  /// Ends the current or next wait. Safe to call from any thread.
  void wake();

private:
  static constexpr std::size_t BatchSize = 256;

  std::size_t dropWakeEvent(std::size_t Count);

  int EpollFd;
  int WakeFd;
  std::atomic<bool> WakePending = false;
  std::array<epoll_event, BatchSize> Batch{};
};

} // namespace radishrelay::backend::detail

#endif
