#ifndef RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_H
#define RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/concurrency_limit_options.h"

#include <optional>

namespace radishrelay::groups {

/// Number of requests that may run on an instance at the same time: additive
/// increase, multiplicative decrease on latency, between one and the quota.
class concurrency_limit {
public:
  explicit concurrency_limit(concurrency_limit_options Options);

  /// Records a request that was sent at \p SentAt, while \p Running requests
  /// ran, and ended at \p Now. \p IsOverload: it timed out or the instance
  /// reported that it has no resources.
  void observe(base::time_point SentAt, base::time_point Now,
               std::size_t Running, bool IsOverload);

  /// Changes the quota.
  void setMaximum(std::size_t Maximum);

  /// At least one.
  [[nodiscard]] std::size_t limit() const;

  [[nodiscard]] base::json dump() const;

private:
  void updateMinimum(base::duration Latency, base::time_point Now);
  [[nodiscard]] bool isSlow(base::duration Latency) const;

  concurrency_limit_options Options;
  double Limit;
  std::optional<base::duration> CurrentMinimum;
  std::optional<base::duration> PreviousMinimum;
  std::optional<base::time_point> WindowEnd;
  /// Requests sent before this time do not lower the limit again.
  base::time_point DecreasedAt;
};

} // namespace radishrelay::groups

#endif
