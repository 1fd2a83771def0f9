#ifndef RADISHRELAY_GROUPS_TESTS_SIM_NODE_H
#define RADISHRELAY_GROUPS_TESTS_SIM_NODE_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::groups::testing {

/// Receiver of simulated messages that can crash and pause.
struct sim_node {
  std::size_t Domain = 0;
  bool IsAlive = true;
  /// Incremented by each crash and restart; messages sent to an earlier
  /// incarnation are dropped.
  std::uint64_t Incarnation = 0;
  /// Messages are held back until this time.
  base::time_point PausedUntil;
};

} // namespace radishrelay::groups::testing

#endif
