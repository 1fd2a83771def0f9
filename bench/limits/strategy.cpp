#include "strategy.h"

#include "fake_fleet.h"

#include <utility>

namespace radishrelay::bench_limits {

namespace {

using accounts::limiter_options;
using accounts::loan_scope;
using accounts::millionths;
using accounts::WholeInMillionths;
using accounts::fakes::fake_fleet;

constexpr std::int64_t SlotCount = 24;
constexpr millionths FloorFraction = 300'000;
/// When the other hosts notice that a host or failure domain is gone.
constexpr base::duration Detection = std::chrono::seconds(3);

/// A fixed part of each limit on each host, without coordination.
class fixed_shares final : public strategy {
public:
  fixed_shares(const deployment &Deployment, millionths Part) {
    for (std::size_t Host = 0; Host < hostCount(Deployment); ++Host) {
      auto &Buckets = Hosts.emplace_back();
      for (const accounts::account_limits &Limits : Deployment.Accounts) {
        Buckets.emplace_back(accounts::shareOf(Limits, Part),
                             base::time_point());
        Buckets.back().refill(base::time_point() + std::chrono::hours(1));
      }
    }
    Queue.runUntil(base::time_point() + std::chrono::hours(1));
  }

  accounts::fakes::event_queue &queue() override { return Queue; }

  std::uint64_t request(std::size_t Host, std::size_t Account) override {
    std::uint64_t Number = ++LastNumber;
    accounts::token_bucket &Bucket = Hosts[Host][Account];
    Bucket.refill(Queue.now());
    bool Admitted = Bucket.take(accounts::OneToken);
    Queue.after(base::duration(0),
                [this, Number, Admitted] { OnDecision(Number, Admitted); });
    return Number;
  }

  void loseHost(std::size_t /*Host*/) override {}
  void restartHost(std::size_t Host) override {
    for (accounts::token_bucket &Bucket : Hosts[Host]) {
      Bucket.refill(Queue.now());
      Bucket.take(Bucket.level());
    }
  }
  void partition(std::size_t /*Domain*/, bool /*Cut*/) override {}

private:
  accounts::fakes::event_queue Queue;
  std::vector<std::vector<accounts::token_bucket>> Hosts;
  std::uint64_t LastNumber = 0;
};

/// account_limiter on every host. With a failure domain per host, each host
/// leases its own shares in the store and nothing is lent.
class limiter_fleet final : public strategy {
public:
  limiter_fleet(const deployment &Deployment, std::uint64_t Seed,
                loan_scope Scope, bool DomainPerHost)
      : Deployment(Deployment), Fleet(Seed) {
    Fleet.Options.Scope = Scope;
    Fleet.InterDomainLatency = Deployment.FarLatency;
    millionths Floor = DomainPerHost ? 0 : FloorFraction;
    Fleet.Configuration = {1, SlotCount, Floor, Deployment.Accounts};
    for (std::size_t Index = 0; Index < hostCount(Deployment); ++Index) {
      std::string Name = "host-" + std::to_string(Index);
      const std::string &Domain =
          Deployment.Domains[domainOf(Deployment, Index)].Name;
      Hosts.push_back(&Fleet.addHost(Name, DomainPerHost ? Name : Domain));
    }
    for (fake_fleet::host *Host : Hosts)
      Fleet.start(*Host);
    Fleet.OnDecision = [this](const fake_fleet::host & /*Host*/,
                              const accounts::request_decided &Decided) {
      bool Waits = std::holds_alternative<accounts::waiting>(Decided.Admission);
      if (!Waits)
        OnDecision(Decided.Request, std::holds_alternative<accounts::admitted>(
                                        Decided.Admission));
    };
  }

  accounts::fakes::event_queue &queue() override { return Fleet.Queue; }

  std::uint64_t request(std::size_t Host, std::size_t Account) override {
    // The number is known before the decision, which may be immediate.
    std::uint64_t Number = ++LastNumber;
    Fleet.Queue.after(base::duration(0), [this, Host, Account] {
      Fleet.request(*Hosts[Host], Deployment.Accounts[Account].Account);
    });
    return Number;
  }

  void loseHost(std::size_t Host) override {
    Fleet.crash(*Hosts[Host]);
    Fleet.Queue.after(Detection, [this] { Fleet.announce(); });
  }

  void restartHost(std::size_t Host) override { Fleet.start(*Hosts[Host]); }

  void partition(std::size_t Domain, bool Cut) override {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      if (domainOf(Deployment, Index) == Domain) {
        const auto &Id = Hosts[Index]->Identity.FailureDomain;
        Cut ? (void)Fleet.Partitioned.insert(Id)
            : (void)Fleet.Partitioned.erase(Id);
      }
    Fleet.Queue.after(Detection, [this] { announceReachable(); });
  }

  [[nodiscard]] std::uint64_t storeReads() const override {
    return Fleet.Store.Reads;
  }
  [[nodiscard]] std::uint64_t storeWrites() const override {
    return Fleet.Store.Writes;
  }
  [[nodiscard]] std::uint64_t messages() const override {
    return Fleet.Messages;
  }

private:
  void announceReachable() {
    for (fake_fleet::host *Host : Hosts) {
      std::vector<accounts::live_host> Live;
      for (fake_fleet::host *Other : Hosts)
        if (Other->Limiter && Fleet.canReach(*Host, *Other))
          Live.push_back({Other->Identity.Host, Other->Identity.FailureDomain});
      Fleet.announceTo(*Host, Live);
    }
  }

  deployment Deployment;
  fake_fleet Fleet;
  std::vector<fake_fleet::host *> Hosts;
  std::uint64_t LastNumber = 0;
};

strategy_choice limiterChoice(std::string Name, loan_scope Scope,
                              bool DomainPerHost) {
  return {std::move(Name),
          [=](const deployment &Deployment, std::uint64_t Seed) {
            return std::make_unique<limiter_fleet>(Deployment, Seed, Scope,
                                                   DomainPerHost);
          }};
}

} // namespace

std::vector<strategy_choice> allStrategies() {
  return {
      {"static",
       [](const deployment &Deployment, std::uint64_t) {
         auto Hosts = static_cast<millionths>(hostCount(Deployment));
         return std::make_unique<fixed_shares>(Deployment,
                                               WholeInMillionths / Hosts);
       }},
      limiterChoice("store-per-host", loan_scope::Owner, true),
      limiterChoice("owner-loans", loan_scope::Owner, false),
      limiterChoice("domain-loans", loan_scope::FailureDomain, false),
      limiterChoice("fleet-loans", loan_scope::Fleet, false),
      {"broken-counter",
       [](const deployment &Deployment, std::uint64_t) {
         return std::make_unique<fixed_shares>(Deployment, WholeInMillionths);
       }},
  };
}

std::size_t domainOf(const deployment &Deployment, std::size_t Host) {
  std::size_t Domain = 0;
  std::size_t End = Deployment.Domains[0].Hosts;
  while (Host >= End)
    End += Deployment.Domains[++Domain].Hosts;
  return Domain;
}

std::size_t hostCount(const deployment &Deployment) {
  std::size_t Count = 0;
  for (const domain_layout &Domain : Deployment.Domains)
    Count += Domain.Hosts;
  return Count;
}

} // namespace radishrelay::bench_limits
