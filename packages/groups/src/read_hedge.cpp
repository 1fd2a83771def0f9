#include "radishrelay/groups/read_hedge.h"

#include <cmath>
#include <variant>

namespace radishrelay::groups {

namespace {

/// Minimum number of recorded reads for which the quantile is used.
constexpr std::size_t MinSamples = 100;

} // namespace

void read_hedge::observe(base::duration Latency) {
  Latencies.add(Latency);
  Budget.recordRead();
}

std::optional<base::time_point>
read_hedge::dueAt(base::time_point SentAt) const {
  if (Latencies.count() < MinSamples)
    return std::nullopt;
  return SentAt + base::duration(std::llround(Latencies.quantile(0.99)));
}

std::optional<run_read> read_hedge::decide(const read_router &Router,
                                           read_request Request,
                                           const base::instance_id &First,
                                           base::time_point Now) {
  Request.Excluded = First;
  read_decision Decision = Router.choose(Request, Now);
  const auto *Run = std::get_if<run_read>(&Decision);
  // Hedged reads do not use the primary, which keeps its capacity for writes.
  if (Run == nullptr || Run->Role == instance_role::Primary)
    return std::nullopt;
  if (!Budget.tryTake())
    return std::nullopt;
  return *Run;
}

base::json read_hedge::dump() const {
  return {{"budget", Budget.dump()}, {"latency", Latencies.dump()}};
}

} // namespace radishrelay::groups
