#ifndef RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_H
#define RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/concurrency_limit_options.h"

#include <optional>

namespace radishrelay::groups {

/// Adaptive limit of the requests that run on an instance at the same time.
///
/// The limit rises by additive increase and falls by multiplicative decrease
/// when the latency shows overload. It stays between one and the connection
/// quota.
class concurrency_limit {
public:
  explicit concurrency_limit(concurrency_limit_options Options);

  /// Records a request that was sent at \p SentAt and ended at \p Now, while
  /// \p Running requests ran. \p IsOverload tells that the request timed out
  /// or that the instance reported a lack of resources.
  void observe(base::time_point SentAt, base::time_point Now,
               std::size_t Running, bool IsOverload);

  /// Changes the connection quota, the upper bound of the limit.
  void setMaximum(std::size_t Maximum);

  /// Returns the number of requests that may run now, at least one.
  [[nodiscard]] std::size_t limit() const;

  [[nodiscard]] base::json dump() const;

private:
  void updateMinLatency(base::duration Latency, base::time_point Now);
  [[nodiscard]] bool isSlow(base::duration Latency) const;

  concurrency_limit_options Options;
  double Limit;
  std::optional<base::duration> CurrentMinLatency;
  std::optional<base::duration> PreviousMinLatency;
  std::optional<base::time_point> WindowEnd;
  /// Time of the last decrease. Requests sent before it do not lower the limit
  /// again.
  base::time_point DecreasedAt;
};

} // namespace radishrelay::groups

#endif
