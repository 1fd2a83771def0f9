#ifndef RADISHRELAY_SESSIONS_TESTS_SUPPORT_EVENT_QUEUE_H
#define RADISHRELAY_SESSIONS_TESTS_SUPPORT_EVENT_QUEUE_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace radishrelay::sessions::tests {

/// Virtual time: runs scheduled events in the order of their times. Events of
/// the same time run in the order in which they were scheduled.
class event_queue {
public:
  using event = std::function<void()>;

  [[nodiscard]] base::time_point now() const { return Now; }
  /// Number of events that have run.
  [[nodiscard]] std::uint64_t steps() const { return Steps; }

  void schedule(base::time_point At, event Event) {
    Events.emplace(std::pair(std::max(At, Now), ++LastNumber),
                   std::move(Event));
  }
  void scheduleIn(base::duration Delay, event Event) {
    schedule(Now + Delay, std::move(Event));
  }
  /// Runs the next event. Returns false if there is none before \p End.
  bool runNext(base::time_point End) {
    if (Events.empty() || Events.begin()->first.first >= End)
      return false;
    auto Next = Events.extract(Events.begin());
    Now = Next.key().first;
    ++Steps;
    Next.mapped()();
    return true;
  }

private:
  base::time_point Now = base::fromMicroseconds(1'000'000);
  std::uint64_t Steps = 0;
  std::uint64_t LastNumber = 0;
  std::map<std::pair<base::time_point, std::uint64_t>, event> Events;
};

} // namespace radishrelay::sessions::tests

#endif
