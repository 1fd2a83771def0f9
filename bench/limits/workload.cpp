#include "workload.h"

#include "strategy.h"

#include <algorithm>

namespace radishrelay::bench_limits {

namespace {

constexpr base::duration SkewPeriod = std::chrono::seconds(10);
/// The main failure domain of an account gets this many times the requests of
/// each other one; likewise for the hosts within.
constexpr double DomainSkew = 4;

} // namespace

workload::workload(const deployment &Deployment, std::uint64_t Seed)
    : Deployment(Deployment), Random(Seed) {}

base::duration workload::nextGap(std::size_t Account) {
  double Factor = Account == Deployment.Surging ? SurgeFactor : OrdinaryLoad;
  auto Rate = static_cast<double>(Deployment.Accounts[Account].RatePerSecond);
  double Microseconds = Random.exponential(1e6 / (Rate * Factor));
  return base::duration(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(Microseconds)));
}

void workload::shift() {
  Weights.clear();
  for (std::size_t Account = 0; Account < Deployment.Accounts.size();
       ++Account) {
    std::size_t Main = Random.below(Deployment.Domains.size());
    std::vector<double> &Hosts = Weights.emplace_back();
    for (std::size_t Host = 0; Host < hostCount(Deployment); ++Host) {
      bool IsMain = domainOf(Deployment, Host) == Main;
      Hosts.push_back((IsMain ? DomainSkew : 1) * Random.exponential(1));
    }
  }
}

std::size_t workload::chooseHost(std::size_t Account, base::time_point Now) {
  if (Weights.empty() || Now >= ShiftAt) {
    shift();
    ShiftAt = Now + SkewPeriod;
  }
  const std::vector<double> &Hosts = Weights[Account];
  double Sum = 0;
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
    Sum += Avoided.count(Host) ? 0 : Hosts[Host];
  double Rest = Random.unit() * Sum;
  std::size_t Chosen = 0;
  for (std::size_t Host = 0; Host < Hosts.size() && Rest >= 0; ++Host) {
    if (Avoided.count(Host))
      continue;
    Chosen = Host;
    Rest -= Hosts[Host];
  }
  return Chosen;
}

} // namespace radishrelay::bench_limits
