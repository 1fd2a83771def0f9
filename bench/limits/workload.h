#ifndef RADISHRELAY_BENCH_LIMITS_WORKLOAD_H
#define RADISHRELAY_BENCH_LIMITS_WORKLOAD_H

#include "deployment.h"

#include "radishrelay/base/random_generator.h"

#include <cstddef>
#include <set>
#include <vector>

namespace radishrelay::bench_limits {

/// Where requests go: each account has a main failure domain and main hosts
/// that change every SkewPeriod.
class workload {
public:
  workload(const deployment &Deployment, std::uint64_t Seed);

  /// Time until the next request of the account; exponentially distributed.
  base::duration nextGap(std::size_t Account);

  /// The host that gets a request at \p Now, out of those not avoided.
  std::size_t chooseHost(std::size_t Account, base::time_point Now);

  /// Hosts to which the balancer sends nothing.
  std::set<std::size_t> Avoided;

private:
  void shift();

  deployment Deployment;
  base::random_generator Random;
  /// Weight of each host by account.
  std::vector<std::vector<double>> Weights;
  base::time_point ShiftAt;
};

} // namespace radishrelay::bench_limits

#endif
