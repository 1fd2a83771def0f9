#include "poller.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>

namespace radishrelay::backend::detail {

namespace {

/// Rounds up, since a wait that ends before the deadline would spin.
int timeoutMs(std::optional<base::time_point> Deadline) {
  if (!Deadline)
    return -1;
  auto Left = *Deadline - base::monotonic_clock::now();
  auto Milliseconds = std::chrono::ceil<std::chrono::milliseconds>(Left);
  constexpr std::int64_t LongestWaitMs = 60'000;
  return static_cast<int>(
      std::clamp<std::int64_t>(Milliseconds.count(), 0, LongestWaitMs));
}

[[noreturn]] void throwLastError(const char *Call) {
  throw std::system_error(errno, std::generic_category(), Call);
}

} // namespace

poller::poller()
    : EpollFd(epoll_create1(EPOLL_CLOEXEC)),
      WakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (EpollFd < 0 || WakeFd < 0)
    throwLastError("create poller");
  // Edge-triggered, so that each wake() is reported once without a read.
  add(WakeFd, WakeKey, EPOLLIN | EPOLLET);
}

poller::~poller() {
  close(WakeFd);
  close(EpollFd);
}

void poller::add(int Fd, std::uint64_t Key, std::uint32_t Events) {
  epoll_event Event{.events = Events, .data = {.u64 = Key}};
  if (epoll_ctl(EpollFd, EPOLL_CTL_ADD, Fd, &Event) < 0)
    throwLastError("epoll_ctl add");
}

void poller::modify(int Fd, std::uint64_t Key, std::uint32_t Events) {
  epoll_event Event{.events = Events, .data = {.u64 = Key}};
  if (epoll_ctl(EpollFd, EPOLL_CTL_MOD, Fd, &Event) < 0)
    throwLastError("epoll_ctl mod");
}

void poller::remove(int Fd) {
  epoll_event Event{};
  epoll_ctl(EpollFd, EPOLL_CTL_DEL, Fd, &Event);
}

std::span<const epoll_event>
poller::wait(std::optional<base::time_point> Deadline) {
  int Count = epoll_wait(EpollFd, Batch.data(), BatchSize, timeoutMs(Deadline));
  if (Count < 0 && errno != EINTR)
    throwLastError("epoll_wait");
  auto Ready = static_cast<std::size_t>(std::max(Count, 0));
  return std::span(Batch).first(dropWakeEvent(Ready));
}

std::size_t poller::dropWakeEvent(std::size_t Count) {
  auto End = Batch.begin() + static_cast<std::ptrdiff_t>(Count);
  auto Wake = std::find_if(Batch.begin(), End, [](const epoll_event &Event) {
    return Event.data.u64 == WakeKey;
  });
  if (Wake == End)
    return Count;
  // Cleared before the caller looks for work, so that work which arrives
  // later causes another wake-up.
  WakePending = false;
  std::swap(*Wake, *(End - 1));
  return Count - 1;
}

void poller::wake() {
  if (WakePending.exchange(true))
    return;
  std::uint64_t One = 1;
  [[maybe_unused]] ssize_t Size = write(WakeFd, &One, sizeof(One));
}

} // namespace radishrelay::backend::detail
