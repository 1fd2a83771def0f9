#ifndef RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_OPTIONS_H
#define RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::groups {

/// Settings of a concurrency limit.
struct concurrency_limit_options {
  /// Connection quota, the upper bound of the limit.
  std::size_t Maximum = 1;
  /// A latency above this multiple of the minimum latency, plus LatencySlack,
  /// shows that requests queue inside the instance.
  double LatencyTolerance = 2.0;
  base::duration LatencySlack = std::chrono::milliseconds(1);
  /// Factor by which the limit is multiplied on overload.
  double DecreaseFactor = 0.7;
  /// Length of a window for the minimum latency. The minimum covers the current
  /// and the previous window, so that it adapts to an instance that has become
  /// permanently slower.
  base::duration MinLatencyWindow = std::chrono::seconds(10);

  friend bool operator==(const concurrency_limit_options &,
                         const concurrency_limit_options &) = default;
};

} // namespace radishrelay::groups

#endif
