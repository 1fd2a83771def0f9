#include "radishrelay/daemon/readiness_set.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <limits>
#include <system_error>

namespace radishrelay::daemon {

namespace {

constexpr std::uint64_t WakeUpTag = std::numeric_limits<std::uint64_t>::max();
constexpr int EventsPerWait = 256;

std::uint32_t eventMask(readiness Watched) {
  auto Bits = static_cast<std::uint32_t>(Watched);
  std::uint32_t Mask = EPOLLRDHUP;
  if (Bits & static_cast<std::uint32_t>(readiness::Read))
    Mask |= EPOLLIN;
  if (Bits & static_cast<std::uint32_t>(readiness::Write))
    Mask |= EPOLLOUT;
  return Mask;
}

void check(int Result, const char *Step) {
  if (Result < 0)
    throw std::system_error(errno, std::generic_category(), Step);
}

} // namespace

readiness_set::readiness_set()
    : Epoll(epoll_create1(EPOLL_CLOEXEC)),
      WakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  check(Epoll, "create epoll descriptor");
  check(WakeUp, "create eventfd");
  add(WakeUp, WakeUpTag, readiness::Read);
}

readiness_set::~readiness_set() {
  close(WakeUp);
  close(Epoll);
}

void readiness_set::add(int Descriptor, std::uint64_t Tag, readiness Watched) {
  control(EPOLL_CTL_ADD, Descriptor, Tag, Watched);
}

void readiness_set::change(int Descriptor, std::uint64_t Tag,
                           readiness Watched) {
  control(EPOLL_CTL_MOD, Descriptor, Tag, Watched);
}

void readiness_set::remove(int Descriptor) {
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
}

void readiness_set::wakeUp() {
  std::uint64_t One = 1;
  // When the counter is full the write fails, but then a wake-up is already
  // pending, so the result is not needed.
  [[maybe_unused]] ssize_t Written = write(WakeUp, &One, sizeof(One));
}

const std::vector<ready_descriptor> &
readiness_set::wait(int TimeoutMilliseconds) {
  std::array<epoll_event, EventsPerWait> Events{};
  int Count =
      epoll_wait(Epoll, Events.data(), EventsPerWait, TimeoutMilliseconds);
  Ready.clear();
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Events.at(static_cast<std::size_t>(Index));
    if (Event.data.u64 == WakeUpTag) {
      drainWakeUps();
      continue;
    }
    bool Failed = (Event.events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) != 0;
    bool Readable = Failed || (Event.events & EPOLLIN) != 0;
    bool Writable = (Event.events & EPOLLOUT) != 0;
    Ready.push_back({Event.data.u64, Readable, Writable});
  }
  return Ready;
}

void readiness_set::control(int Operation, int Descriptor, std::uint64_t Tag,
                            readiness Watched) {
  epoll_event Event{};
  Event.events = eventMask(Watched);
  Event.data.u64 = Tag;
  check(epoll_ctl(Epoll, Operation, Descriptor, &Event),
        "register descriptor with epoll");
}

void readiness_set::drainWakeUps() {
  std::uint64_t Count = 0;
  [[maybe_unused]] ssize_t Read = read(WakeUp, &Count, sizeof(Count));
}

} // namespace radishrelay::daemon
