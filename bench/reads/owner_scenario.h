#ifndef RADISHRELAY_BENCH_READS_OWNER_SCENARIO_H
#define RADISHRELAY_BENCH_READS_OWNER_SCENARIO_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>
#include <cstdint>

namespace radishrelay::bench {

/// A fleet and its databases.
struct owner_settings {
  std::size_t Databases = 3;
  std::size_t Hosts = 21;
  std::size_t Domains = 3;
  /// Owner hosts per database and failure domain, else every host connects to
  /// every database.
  bool HasOwners = false;
  std::uint64_t Seed = 1;
};

/// Costs of one way of routing.
struct owner_result {
  /// False when the quota of a host is below one connection.
  bool IsFeasible = true;
  std::uint32_t Quota = 0;
  /// With one control and one work connection per host and instance.
  std::size_t ConnectionsPerInstance = 0;
  double MeanConnectionsPerHost = 0;
  std::size_t MaxConnectionsPerHost = 0;
  double ProbesPerSecond = 0;
  double ProbesPerSecondAndHost = 0;
  /// Of a read, from its arrival at a host to its result there.
  base::duration MedianLatency{};
  base::duration P99Latency{};
};

owner_result measureOwners(const owner_settings &Settings);

} // namespace radishrelay::bench

#endif
