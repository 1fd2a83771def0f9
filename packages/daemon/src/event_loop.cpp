#include "radishrelay/daemon/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <system_error>

namespace radishrelay::daemon {

namespace {

constexpr int MaxEvents = 64;

std::uint32_t interest(bool WantsWrite) {
  return EPOLLIN | EPOLLRDHUP | (WantsWrite ? EPOLLOUT : 0U);
}

void control(int Epoll, int Operation, int Descriptor, io_handler *Handler,
             bool WantsWrite) {
  epoll_event Event{};
  Event.events = interest(WantsWrite);
  Event.data.ptr = Handler;
  if (epoll_ctl(Epoll, Operation, Descriptor, &Event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

} // namespace

event_loop::event_loop()
    : Epoll(epoll_create1(EPOLL_CLOEXEC)),
      WakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (Epoll < 0 || WakeUp < 0)
    throw std::system_error(errno, std::generic_category(), "open event loop");
  control(Epoll, EPOLL_CTL_ADD, WakeUp, nullptr, false);
}

event_loop::~event_loop() {
  close(WakeUp);
  close(Epoll);
}

void event_loop::add(int Descriptor, io_handler &Handler, bool WantsWrite) {
  control(Epoll, EPOLL_CTL_ADD, Descriptor, &Handler, WantsWrite);
  Handlers.emplace_back(Descriptor, &Handler);
}

void event_loop::change(int Descriptor, io_handler &Handler, bool WantsWrite) {
  control(Epoll, EPOLL_CTL_MOD, Descriptor, &Handler, WantsWrite);
}

void event_loop::remove(int Descriptor) {
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
  auto Entry = std::ranges::find(Handlers, Descriptor,
                                 &std::pair<int, io_handler *>::first);
  if (Entry == Handlers.end())
    return;
  Removed.push_back(Entry->second);
  *Entry = Handlers.back();
  Handlers.pop_back();
}

void event_loop::post(std::function<void()> Task) {
  {
    std::lock_guard Guard(Mutex);
    Tasks.push_back(std::move(Task));
  }
  std::uint64_t One = 1;
  // The write fails only if the counter is at its maximum; the descriptor is
  // readable then and wakes the loop.
  [[maybe_unused]] ssize_t Written = write(WakeUp, &One, sizeof(One));
}

void event_loop::runTasks() {
  std::uint64_t Count = 0;
  [[maybe_unused]] ssize_t Read = read(WakeUp, &Count, sizeof(Count));
  std::vector<std::function<void()>> Due;
  {
    std::lock_guard Guard(Mutex);
    Due.swap(Tasks);
  }
  for (std::function<void()> &Task : Due)
    Task();
}

void event_loop::runOnce(base::time_point Deadline) {
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  constexpr std::int64_t MaxWaitMilliseconds = 1000;
  std::int64_t Left = (Deadline - base::monotonic_clock::now()).count();
  std::int64_t Wait = std::clamp<std::int64_t>(
      (Left + MicrosecondsPerMillisecond - 1) / MicrosecondsPerMillisecond, 0,
      MaxWaitMilliseconds);
  std::array<epoll_event, MaxEvents> Events{};
  int Count =
      epoll_wait(Epoll, Events.data(), MaxEvents, static_cast<int>(Wait));
  Removed.clear();
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Events.at(static_cast<std::size_t>(Index));
    auto *Handler = static_cast<io_handler *>(Event.data.ptr);
    if (!Handler) {
      runTasks();
      continue;
    }
    auto IsRemoved = [&] {
      return std::ranges::find(Removed, Handler) != Removed.end();
    };
    if ((Event.events & EPOLLOUT) && !IsRemoved())
      Handler->writable();
    if ((Event.events & ~static_cast<std::uint32_t>(EPOLLOUT)) && !IsRemoved())
      Handler->readable();
  }
}

} // namespace radishrelay::daemon
