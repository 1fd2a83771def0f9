#ifndef RADISHRELAY_BENCH_FAILOVER_MEASURES_H
#define RADISHRELAY_BENCH_FAILOVER_MEASURES_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <vector>

namespace radishrelay::bench {

/// Sums and samples over the seeds of a failover_case.
struct failover_measures {
  /// From the failure to the first write that the new primary commits and
  /// that is acknowledged.
  std::vector<base::duration> GapFromFailure;
  /// The same from the start of the first promoter.
  std::vector<base::duration> GapFromDetection;
  /// Acknowledgement latency before the failure.
  std::vector<base::duration> Latency;
  std::uint64_t Acknowledged = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t NotRun = 0;
  /// Seeds in which no write was acknowledged within 15 s of the failure.
  std::uint64_t NeverServed = 0;
};

} // namespace radishrelay::bench

#endif
