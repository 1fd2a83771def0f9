#include "radishrelay/groups/concurrency_limit.h"

#include <algorithm>

namespace radishrelay::groups {

concurrency_limit::concurrency_limit(concurrency_limit_options Options)
    : Options(Options),
      Limit(static_cast<double>(std::max<std::size_t>(Options.Maximum, 1))) {}

void concurrency_limit::observe(base::time_point SentAt, base::time_point Now,
                                std::size_t Running, bool IsOverload) {
  base::duration Latency = Now - SentAt;
  if (!IsOverload)
    updateMinLatency(Latency, Now);
  if (IsOverload || isSlow(Latency)) {
    // A slow period lowers the limit once, not once per request in flight.
    if (SentAt < DecreasedAt)
      return;
    DecreasedAt = Now;
    Limit = std::max(1.0, Limit * Options.DecreaseFactor);
    return;
  }
  // A limit that is not reached does not show that a higher one would be safe.
  if (Running < limit())
    return;
  auto Maximum = static_cast<double>(Options.Maximum);
  Limit = std::max(1.0, std::min(Maximum, Limit + 1.0 / Limit));
}

void concurrency_limit::setMaximum(std::size_t Maximum) {
  Options.Maximum = Maximum;
  Limit = std::clamp(Limit, 1.0, std::max(1.0, static_cast<double>(Maximum)));
}

std::size_t concurrency_limit::limit() const {
  return static_cast<std::size_t>(Limit);
}

void concurrency_limit::updateMinLatency(base::duration Latency,
                                         base::time_point Now) {
  if (!WindowEnd || Now >= *WindowEnd) {
    PreviousMinLatency = CurrentMinLatency;
    CurrentMinLatency.reset();
    WindowEnd = Now + Options.MinLatencyWindow;
  }
  CurrentMinLatency = std::min(CurrentMinLatency.value_or(Latency), Latency);
}

bool concurrency_limit::isSlow(base::duration Latency) const {
  if (!CurrentMinLatency)
    return false;
  base::duration Minimum = std::min(
      *CurrentMinLatency, PreviousMinLatency.value_or(*CurrentMinLatency));
  double BoundUs =
      static_cast<double>(Minimum.count()) * Options.LatencyTolerance +
      static_cast<double>(Options.LatencySlack.count());
  return static_cast<double>(Latency.count()) > BoundUs;
}

base::json concurrency_limit::dump() const {
  base::json Dump = base::json::object();
  Dump["limit"] = limit();
  Dump["maximum"] = Options.Maximum;
  Dump["minimum_latency_us"] = nullptr;
  if (CurrentMinLatency)
    Dump["minimum_latency_us"] = CurrentMinLatency->count();
  return Dump;
}

} // namespace radishrelay::groups
