#ifndef RADISHRELAY_ACCOUNTS_TESTS_EVENT_QUEUE_H
#define RADISHRELAY_ACCOUNTS_TESTS_EVENT_QUEUE_H

#include "radishrelay/base/monotonic_clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace radishrelay::accounts::fakes {

/// Virtual clock that runs events in the order of their time. Events of the
/// same time run in the order in which they were added.
class event_queue {
public:
  void at(base::time_point Time, std::function<void()> Run) {
    Events.push_back({std::max(Time, Now), ++LastNumber, std::move(Run)});
    std::push_heap(Events.begin(), Events.end());
  }

  void after(base::duration Delay, std::function<void()> Run) {
    at(Now + Delay, std::move(Run));
  }

  void runUntil(base::time_point End) {
    while (!Events.empty() && Events.front().Time <= End) {
      std::pop_heap(Events.begin(), Events.end());
      event Event = std::move(Events.back());
      Events.pop_back();
      Now = Event.Time;
      Event.Run();
    }
    Now = End;
  }

  [[nodiscard]] base::time_point now() const { return Now; }

private:
  struct event {
    base::time_point Time;
    std::uint64_t Number;
    std::function<void()> Run;

    /// Reversed order, since the heap has its greatest element on top.
    bool operator<(const event &Other) const {
      return std::pair(Other.Time, Other.Number) < std::pair(Time, Number);
    }
  };

  std::vector<event> Events;
  std::uint64_t LastNumber = 0;
  base::time_point Now = base::fromMicroseconds(0);
};

} // namespace radishrelay::accounts::fakes

#endif
