#ifndef RADISHRELAY_BASE_RETRY_BUDGET_H
#define RADISHRELAY_BASE_RETRY_BUDGET_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::base {

/// Limits retries to a burst and a steady rate, so that retries cannot
/// multiply the load on a peer that already fails.
class retry_budget {
public:
  /// Allows \p Burst retries at once and one more per \p Interval.
  retry_budget(std::uint32_t Burst, duration Interval)
      : Burst(Burst), Interval(Interval) {}

  /// Consumes one retry. Returns false if none is available.
  bool tryTake(time_point Now);

  /// Returns the earliest time at which tryTake can succeed.
  [[nodiscard]] time_point availableAt() const;

  [[nodiscard]] json dump() const;

private:
  std::uint32_t Burst;
  duration Interval;
  /// Time at which the budget is full again if no further retry is consumed.
  time_point FullAt;
};

} // namespace radishrelay::base

#endif
