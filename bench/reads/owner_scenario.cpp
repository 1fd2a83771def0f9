#include "owner_scenario.h"

#include "event_queue.h"

#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/connection_quota.h"
#include "radishrelay/groups/owner_hosts.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace radishrelay::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t ConnectionLimit = 50;
constexpr std::uint32_t ConnectionReserve = 2;
constexpr std::size_t InstancesPerDatabase = 3;
constexpr double ProbesPerSecond = 2;
constexpr std::size_t InstanceSlots = 3;
constexpr double MeanServiceUs = 2000;
/// Requests for one instance over all hosts.
constexpr double RequestsPerSecond = 600;
constexpr base::duration RunTime = 60s;
/// One way between hosts of a failure domain, with the work of a forward.
constexpr base::duration ForwardOneWay = 150us;

std::vector<groups::slot_number> domainSlots(const owner_settings &Settings) {
  std::vector<groups::slot_number> Slots(Settings.Hosts / Settings.Domains);
  for (std::size_t Index = 0; Index < Slots.size(); ++Index)
    Slots[Index] = static_cast<groups::slot_number>(Index);
  return Slots;
}

groups::owner_hosts makeOwners(const owner_settings &Settings) {
  groups::owner_hosts_options Options;
  Options.DomainCount = Settings.Domains;
  groups::owner_hosts Owners(Options, domainSlots(Settings));
  std::vector<base::group_id> Names;
  for (std::size_t Index = 0; Index < Settings.Databases; ++Index)
    Names.emplace_back("database-" + std::to_string(Index));
  Owners.setGroups(Names);
  return Owners;
}

/// Reads of one instance, each of which holds a connection of its host.
class simulation {
public:
  simulation(const owner_settings &Settings, std::size_t Connections)
      : Settings(Settings), Connections(Connections), Random(Settings.Seed) {}

  std::vector<base::duration> run() {
    scheduleArrival();
    Events.runUntil(base::time_point() + RunTime);
    std::sort(Latencies.begin(), Latencies.end());
    return Latencies;
  }

private:
  struct waiting_read {
    base::time_point ArrivedAt;
    bool IsForwarded = false;
  };

  struct host {
    std::size_t Busy = 0;
    std::deque<waiting_read> Waiting;
  };

  void scheduleArrival() {
    base::duration Gap(
        std::llround(Random.exponential(1e6 / RequestsPerSecond)));
    Events.schedule(Events.now() + Gap, [this] {
      arrive(Random.below(Settings.Hosts));
      scheduleArrival();
    });
  }

  /// Hosts 0 and 1 of each domain are its owners of this database.
  void arrive(std::size_t Host) {
    std::size_t DomainSize = Settings.Hosts / Settings.Domains;
    constexpr std::size_t OwnerCount = 2;
    bool IsForwarded = Settings.HasOwners && Host % DomainSize >= OwnerCount;
    waiting_read Read{Events.now(), IsForwarded};
    if (!IsForwarded)
      return enqueue(Host, Read);
    std::size_t Owner = Host - Host % DomainSize + Random.below(OwnerCount);
    Events.schedule(Events.now() + ForwardOneWay,
                    [=, this] { enqueue(Owner, Read); });
  }

  void enqueue(std::size_t Host, const waiting_read &Read) {
    Hosts[Host].Waiting.push_back(Read);
    send(Host);
  }

  void send(std::size_t Host) {
    host &Item = Hosts[Host];
    if (Item.Busy >= Connections || Item.Waiting.empty())
      return;
    ++Item.Busy;
    waiting_read Read = Item.Waiting.front();
    Item.Waiting.pop_front();
    AtInstance.push_back([=, this] { finish(Host, Read); });
    serve();
  }

  void serve() {
    if (Serving >= InstanceSlots || AtInstance.empty())
      return;
    ++Serving;
    base::duration Service(std::llround(Random.exponential(MeanServiceUs)));
    Events.schedule(Events.now() + Service,
                    [this, Finish = AtInstance.front()] {
                      --Serving;
                      Finish();
                      serve();
                    });
    AtInstance.pop_front();
  }

  void finish(std::size_t Host, const waiting_read &Read) {
    --Hosts[Host].Busy;
    base::duration Back = Read.IsForwarded ? ForwardOneWay : base::duration();
    Latencies.push_back(Events.now() + Back - Read.ArrivedAt);
    send(Host);
  }

  owner_settings Settings;
  std::size_t Connections;
  event_queue Events;
  base::random_generator Random;
  std::map<std::size_t, host> Hosts;
  std::deque<event_queue::callback> AtInstance;
  std::size_t Serving = 0;
  std::vector<base::duration> Latencies;
};

void measureLatency(const owner_settings &Settings, owner_result &Result) {
  // One connection of the quota is for probes.
  std::size_t Work = std::max<std::size_t>(1, Result.Quota - 1);
  std::vector<base::duration> Latencies = simulation(Settings, Work).run();
  Result.MedianLatency = Latencies[Latencies.size() / 2];
  Result.P99Latency = Latencies[Latencies.size() * 99 / 100];
}

void countEveryHost(const owner_settings &Settings, owner_result &Result) {
  Result.Quota =
      groups::connectionQuota(ConnectionLimit, ConnectionReserve,
                              static_cast<std::uint32_t>(Settings.Hosts));
  Result.IsFeasible = Result.Quota > 0;
  std::size_t PerPair = std::min<std::size_t>(2, std::max(Result.Quota, 1U));
  Result.ConnectionsPerInstance = Settings.Hosts * PerPair;
  Result.MaxConnectionsPerHost =
      Settings.Databases * InstancesPerDatabase * PerPair;
  Result.MeanConnectionsPerHost =
      static_cast<double>(Result.MaxConnectionsPerHost);
  Result.ProbesPerSecond =
      static_cast<double>(Settings.Hosts * Settings.Databases *
                          InstancesPerDatabase) *
      ProbesPerSecond;
}

void countOwners(const owner_settings &Settings, owner_result &Result) {
  groups::owner_hosts Owners = makeOwners(Settings);
  groups::owner_hosts_options Options;
  std::map<groups::slot_number, std::size_t> Databases;
  for (std::size_t Index = 0; Index < Settings.Databases; ++Index) {
    base::group_id Group("database-" + std::to_string(Index));
    const std::vector<groups::slot_number> &Slots = Owners.slotsOf(Group);
    for (std::size_t Rank = 0; Rank < std::min(Options.Owners, Slots.size());
         ++Rank)
      ++Databases[Slots[Rank]];
    Result.Quota =
        Owners.quota(Group, Slots.front(), ConnectionLimit, ConnectionReserve);
  }
  Result.IsFeasible = Result.Quota > 0;
  std::size_t PerPair = std::min<std::size_t>(2, std::max(Result.Quota, 1U));
  std::size_t Holders = Options.Owners * Settings.Domains;
  Result.ConnectionsPerInstance = Holders * PerPair;
  for (const auto &[Slot, Count] : Databases)
    Result.MaxConnectionsPerHost = std::max(
        Result.MaxConnectionsPerHost, Count * InstancesPerDatabase * PerPair);
  double Pairs =
      static_cast<double>(Holders * Settings.Databases * InstancesPerDatabase);
  Result.MeanConnectionsPerHost = Pairs * static_cast<double>(PerPair) /
                                  static_cast<double>(Settings.Hosts);
  Result.ProbesPerSecond = Pairs * ProbesPerSecond;
}

} // namespace

owner_result measureOwners(const owner_settings &Settings) {
  owner_result Result;
  if (Settings.HasOwners)
    countOwners(Settings, Result);
  else
    countEveryHost(Settings, Result);
  Result.ProbesPerSecondAndHost =
      Result.ProbesPerSecond / static_cast<double>(Settings.Hosts);
  if (Result.IsFeasible)
    measureLatency(Settings, Result);
  return Result;
}

} // namespace radishrelay::bench
