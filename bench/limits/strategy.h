#ifndef RADISHRELAY_BENCH_LIMITS_STRATEGY_H
#define RADISHRELAY_BENCH_LIMITS_STRATEGY_H

#include "deployment.h"
#include "event_queue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishrelay::bench_limits {

/// Called once per request with its number and whether it was admitted.
using decision_handler = std::function<void(std::uint64_t, bool)>;

/// A way to divide the limits among hosts. Hosts and accounts are indices into
/// the deployment.
class strategy {
public:
  virtual ~strategy() = default;

  /// The virtual time on which it runs.
  virtual accounts::fakes::event_queue &queue() = 0;
  virtual std::uint64_t request(std::size_t Host, std::size_t Account) = 0;
  virtual void loseHost(std::size_t Host) = 0;
  virtual void restartHost(std::size_t Host) = 0;
  /// Cuts a failure domain off from the others and the store, or heals it.
  virtual void partition(std::size_t Domain, bool Cut) = 0;
  [[nodiscard]] virtual std::uint64_t storeReads() const { return 0; }
  [[nodiscard]] virtual std::uint64_t storeWrites() const { return 0; }
  [[nodiscard]] virtual std::uint64_t messages() const { return 0; }

  decision_handler OnDecision;
};

/// A strategy by name with a function that makes it for a seed.
struct strategy_choice {
  std::string Name;
  std::function<std::unique_ptr<strategy>(const deployment &, std::uint64_t)>
      Make;
};

/// All strategies that are compared.
std::vector<strategy_choice> allStrategies();

/// Index of the failure domain of a host.
std::size_t domainOf(const deployment &Deployment, std::size_t Host);
std::size_t hostCount(const deployment &Deployment);

} // namespace radishrelay::bench_limits

#endif
