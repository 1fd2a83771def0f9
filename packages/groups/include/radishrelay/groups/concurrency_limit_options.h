#ifndef RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_OPTIONS_H
#define RADISHRELAY_GROUPS_CONCURRENCY_LIMIT_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::groups {

/// Settings of a concurrency limit.
struct concurrency_limit_options {
  /// The connection quota.
  std::size_t Maximum = 1;
  /// A latency above this multiple of the minimum, plus Slack, shows that
  /// requests queue inside the instance.
  double Tolerance = 2.0;
  base::duration Slack = std::chrono::milliseconds(1);
  double DecreaseFactor = 0.7;
  /// The minimum is taken over the current and the previous window, so that it
  /// follows an instance that has become slower for good.
  base::duration MinimumWindow = std::chrono::seconds(10);

  friend bool operator==(const concurrency_limit_options &,
                         const concurrency_limit_options &) = default;
};

} // namespace radishrelay::groups

#endif
