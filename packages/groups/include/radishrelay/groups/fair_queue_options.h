#ifndef RADISHRELAY_GROUPS_FAIR_QUEUE_OPTIONS_H
#define RADISHRELAY_GROUPS_FAIR_QUEUE_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::groups {

/// Settings of a fair queue.
struct fair_queue_options {
  /// Service time that is credited to an account in each round.
  base::duration Quantum = std::chrono::milliseconds(1);
  /// Bounds of the cost of a request. MaxCost bounds the number of rounds until
  /// the deficit covers the cost of a request.
  base::duration MinCost = std::chrono::microseconds(10);
  base::duration MaxCost = std::chrono::milliseconds(100);
  /// Maximum number of queued requests; it bounds the memory of the queue.
  std::size_t Capacity = 10000;

  friend bool operator==(const fair_queue_options &,
                         const fair_queue_options &) = default;
};

} // namespace radishrelay::groups

#endif
