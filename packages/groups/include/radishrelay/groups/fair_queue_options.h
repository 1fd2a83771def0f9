#ifndef RADISHRELAY_GROUPS_FAIR_QUEUE_OPTIONS_H
#define RADISHRELAY_GROUPS_FAIR_QUEUE_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::groups {

/// Settings of a fair queue.
struct fair_queue_options {
  /// Service that an account receives per turn.
  base::duration Quantum = std::chrono::milliseconds(1);
  /// Bounds of the cost of a request; the upper one bounds the number of turns
  /// that a request waits for its deficit.
  base::duration MinCost = std::chrono::microseconds(10);
  base::duration MaxCost = std::chrono::milliseconds(100);
  /// Further requests are refused, so that memory stays bounded.
  std::size_t Capacity = 10000;

  friend bool operator==(const fair_queue_options &,
                         const fair_queue_options &) = default;
};

} // namespace radishrelay::groups

#endif
