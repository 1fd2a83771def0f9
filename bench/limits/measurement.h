#ifndef RADISHRELAY_BENCH_LIMITS_MEASUREMENT_H
#define RADISHRELAY_BENCH_LIMITS_MEASUREMENT_H

#include "strategy.h"

#include "radishrelay/base/json.h"

#include <array>
#include <vector>

namespace radishrelay::bench_limits {

/// Parts of a run that are counted separately.
enum class run_phase { WarmUp, Steady, HostLost, Recovery, Partition };
constexpr std::size_t PhaseCount = 5;

/// Counts of one account in one phase.
struct request_counts {
  std::int64_t Sent = 0;
  std::int64_t Admitted = 0;
  /// Requests that one exact bucket over the fleet admits.
  std::int64_t Entitled = 0;
  /// Entitled requests that were refused.
  std::int64_t FalselyRefused = 0;

  void add(const request_counts &Other);
};

/// What was measured, summed over runs.
struct measurement {
  /// By phase, then account.
  std::array<std::vector<request_counts>, PhaseCount> Counts;
  std::int64_t AboveBound = 0;
  std::uint64_t StoreReads = 0;
  std::uint64_t StoreWrites = 0;
  std::uint64_t Messages = 0;
  /// Of virtual time.
  double Seconds = 0;

  void add(const measurement &Other);
};

/// Runs one strategy once: steady state, the loss of a host, recovery, and the
/// partition of a failure domain.
measurement measure(const strategy_choice &Choice, const deployment &Deployment,
                    std::uint64_t Seed);

} // namespace radishrelay::bench_limits

#endif
