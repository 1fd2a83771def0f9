#include "measurement.h"

#include "reference_bucket.h"
#include "workload.h"

#include <map>
#include <utility>

namespace radishrelay::bench_limits {

namespace {

using namespace std::chrono_literals;
using accounts::fakes::reference_bucket;

/// Length of each phase, in the order of run_phase.
constexpr std::array<base::duration, PhaseCount> PhaseLengths = {20s, 30s, 30s,
                                                                 20s, 30s};
/// A partitioned failure domain refuses keyed routes after this.
constexpr base::duration FreshnessBound = 3s;

class run {
public:
  run(const strategy_choice &Choice, const deployment &Deployment,
      std::uint64_t Seed)
      : Deployment(Deployment), Strategy(Choice.Make(Deployment, Seed)),
        Workload(Deployment, Seed + 1), Random(Seed + 2),
        Started(Strategy->queue().now()) {
    for (auto &Counts : Result.Counts)
      Counts.resize(Deployment.Accounts.size());
    for (const accounts::account_limits &Limits : Deployment.Accounts) {
      Entitled.emplace_back(Limits.RatePerSecond, Limits.Burst);
      Bound.emplace_back(Limits.RatePerSecond, Limits.Burst);
    }
    Strategy->OnDecision = [this](std::uint64_t Number, bool Admitted) {
      decided(Number, Admitted);
    };
  }

  measurement execute() {
    for (std::size_t Account = 0; Account < Entitled.size(); ++Account)
      scheduleNext(Account);
    runPhase(run_phase::WarmUp);
    runPhase(run_phase::Steady);
    std::size_t Lost = Random.below(hostCount(Deployment));
    Strategy->loseHost(Lost);
    Workload.Avoided = {Lost};
    runPhase(run_phase::HostLost);
    Strategy->restartHost(Lost);
    Workload.Avoided.clear();
    runPhase(run_phase::Recovery);
    cutDomain(Random.below(Deployment.Domains.size()));
    runPhase(run_phase::Partition);
    Result.StoreReads = Strategy->storeReads();
    Result.StoreWrites = Strategy->storeWrites();
    Result.Messages = Strategy->messages();
    Result.Seconds =
        std::chrono::duration<double>(Strategy->queue().now() - Started)
            .count();
    return std::move(Result);
  }

private:
  struct sent_request {
    std::size_t Account;
    run_phase Phase;
    bool IsEntitled;
  };

  void runPhase(run_phase Next) {
    Phase = Next;
    auto &Queue = Strategy->queue();
    // A random part keeps faults from falling on the shifts of the demand.
    base::duration Extra(Random.below(10'000'000));
    Queue.runUntil(Queue.now() + PhaseLengths[static_cast<int>(Next)] + Extra);
  }

  void cutDomain(std::size_t Domain) {
    Strategy->partition(Domain, true);
    Strategy->queue().after(FreshnessBound, [this, Domain] {
      // From here on its callers are served by the other failure domains.
      for (std::size_t Host = 0; Host < hostCount(Deployment); ++Host)
        if (domainOf(Deployment, Host) == Domain)
          Workload.Avoided.insert(Host);
    });
  }

  void scheduleNext(std::size_t Account) {
    Strategy->queue().after(Workload.nextGap(Account), [this, Account] {
      sendRequest(Account);
      scheduleNext(Account);
    });
  }

  void sendRequest(std::size_t Account) {
    base::time_point Now = Strategy->queue().now();
    bool IsEntitled = Entitled[Account].take(Now);
    std::size_t Host = Workload.chooseHost(Account, Now);
    Sent[Strategy->request(Host, Account)] = {Account, Phase, IsEntitled};
    request_counts &Counts = countsOf(Phase, Account);
    ++Counts.Sent;
    Counts.Entitled += IsEntitled;
  }

  void decided(std::uint64_t Number, bool Admitted) {
    auto Request = Sent.extract(Number).mapped();
    request_counts &Counts = countsOf(Request.Phase, Request.Account);
    Counts.Admitted += Admitted;
    Counts.FalselyRefused += Request.IsEntitled && !Admitted;
    if (Admitted && !Bound[Request.Account].take(Strategy->queue().now()))
      ++Result.AboveBound;
  }

  request_counts &countsOf(run_phase Of, std::size_t Account) {
    return Result.Counts[static_cast<int>(Of)][Account];
  }

  deployment Deployment;
  std::unique_ptr<strategy> Strategy;
  workload Workload;
  base::random_generator Random;
  base::time_point Started;
  measurement Result;
  run_phase Phase = run_phase::WarmUp;
  std::vector<reference_bucket> Entitled;
  std::vector<reference_bucket> Bound;
  std::map<std::uint64_t, sent_request> Sent;
};

} // namespace

void request_counts::add(const request_counts &Other) {
  Sent += Other.Sent;
  Admitted += Other.Admitted;
  Entitled += Other.Entitled;
  FalselyRefused += Other.FalselyRefused;
}

void measurement::add(const measurement &Other) {
  for (std::size_t Phase = 0; Phase < PhaseCount; ++Phase) {
    Counts[Phase].resize(Other.Counts[Phase].size());
    for (std::size_t Account = 0; Account < Counts[Phase].size(); ++Account)
      Counts[Phase][Account].add(Other.Counts[Phase][Account]);
  }
  AboveBound += Other.AboveBound;
  StoreReads += Other.StoreReads;
  StoreWrites += Other.StoreWrites;
  Messages += Other.Messages;
  Seconds += Other.Seconds;
}

measurement measure(const strategy_choice &Choice, const deployment &Deployment,
                    std::uint64_t Seed) {
  return run(Choice, Deployment, Seed).execute();
}

} // namespace radishrelay::bench_limits
