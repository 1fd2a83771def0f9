#ifndef RADISHRELAY_BENCH_READS_EVENT_QUEUE_H
#define RADISHRELAY_BENCH_READS_EVENT_QUEUE_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace radishrelay::bench {

/// Runs callbacks in the order of virtual time.
class event_queue {
public:
  using callback = std::function<void()>;

  [[nodiscard]] base::time_point now() const { return Now; }

  /// Runs \p Callback at \p At, after those scheduled earlier for that time.
  void schedule(base::time_point At, callback Callback);

  /// Runs all events before \p End.
  void runUntil(base::time_point End);

private:
  struct event {
    base::time_point At;
    std::uint64_t Number;
    callback Callback;

    friend bool operator>(const event &Left, const event &Right) {
      return std::pair(Left.At, Left.Number) >
             std::pair(Right.At, Right.Number);
    }
  };

  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  base::time_point Now;
  std::uint64_t LastNumber = 0;
};

} // namespace radishrelay::bench

#endif
