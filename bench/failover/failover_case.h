#ifndef RADISHRELAY_BENCH_FAILOVER_CASE_H
#define RADISHRELAY_BENCH_FAILOVER_CASE_H

#include "simulation/simulation.h"

namespace radishrelay::bench {

/// What happens to the primary.
enum class failure_kind {
  Crash,
  /// Its failure domain is cut off from all others, hosts included.
  Partition,
  /// It crashes five seconds into a store outage of ten seconds.
  CrashInStoreOutage
};

/// One row of the comparison.
struct failover_case {
  std::string Deployment;
  /// One way, between failure domains and to the store.
  base::duration Latency{};
  std::shared_ptr<const groups::acknowledgement_strategy> Strategy;
  groups::failover_options Timing;
  failure_kind Failure = failure_kind::Crash;
};

} // namespace radishrelay::bench

#endif
