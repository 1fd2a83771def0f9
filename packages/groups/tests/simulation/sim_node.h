#ifndef RADISHRELAY_GROUPS_TESTS_SIM_NODE_H
#define RADISHRELAY_GROUPS_TESTS_SIM_NODE_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::groups::testing {

/// A receiver of messages that can crash and pause.
struct sim_node {
  std::size_t Domain = 0;
  bool IsAlive = true;
  /// Messages of an earlier incarnation are lost.
  std::uint64_t Incarnation = 0;
  base::time_point PausedUntil;
};

} // namespace radishrelay::groups::testing

#endif
