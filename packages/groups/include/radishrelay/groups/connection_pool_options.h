#ifndef RADISHRELAY_GROUPS_CONNECTION_POOL_OPTIONS_H
#define RADISHRELAY_GROUPS_CONNECTION_POOL_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/connection_number.h"

#include <chrono>
#include <cstdint>

namespace radishrelay::groups {

/// Settings of a connection pool.
struct connection_pool_options {
  /// Maximum number of connections of this host to the instance, including the
  /// control connection.
  std::uint32_t Quota = 2;
  /// First connection number that the pool assigns. The pools of a process use
  /// disjoint ranges.
  connection_number FirstNumber = 1;
  /// Minimum time between two attempts to open a connection; opening one takes
  /// about as long.
  base::duration OpenInterval = std::chrono::milliseconds(10);
  /// Maximum back-off after repeated failures to open a connection.
  base::duration MaxOpenPause = std::chrono::seconds(1);
  base::duration OpenTimeout = std::chrono::seconds(1);
  base::duration ResetTimeout = std::chrono::seconds(1);
  /// An idle work connection is closed after this time.
  base::duration IdleLifetime = std::chrono::seconds(60);
  /// Seed of the back-off jitter; differs between hosts.
  std::uint64_t Seed = 1;

  friend bool operator==(const connection_pool_options &,
                         const connection_pool_options &) = default;
};

} // namespace radishrelay::groups

#endif
