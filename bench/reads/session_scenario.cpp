#include "session_scenario.h"

#include "fake_group.h"

#include "radishrelay/groups/read_router.h"
#include "radishrelay/groups/session_positions.h"

#include <array>
#include <cmath>
#include <memory>
#include <variant>

namespace radishrelay::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t HostCount = 3;
constexpr std::size_t SessionCount = 60;
constexpr double MeanThinkUs = 80'000;
constexpr double WriteShare = 0.2;
constexpr base::duration RunTime = 20s;
constexpr base::duration ProbeInterval = 100ms;
constexpr base::duration LocalOneWay = 100us;
constexpr base::duration RequestTimeout = 5s;
/// Time for which a sticky session reads from the primary after a write.
constexpr base::duration StickyTime = 1s;
constexpr base::duration MeanService = 2ms;

base::instance_id instanceName(std::size_t Instance) {
  return base::instance_id("instance-" + std::to_string(Instance));
}

const std::array<base::instance_id, fake_group::InstanceCount> Names{
    instanceName(0), instanceName(1), instanceName(2)};
const base::group_id Group("permits");

/// A session and what it is owed.
struct client {
  groups::session_positions Session;
  groups::log_offset Written = 0;
  base::time_point StickyUntil;
};

struct host {
  groups::read_router Router;
  std::array<std::size_t, fake_group::InstanceCount> Running{};
};

struct pending_read {
  std::size_t Host = 0;
  std::size_t Client = 0;
  base::time_point SentAt;
  groups::read_request Request;
};

class simulation {
public:
  explicit simulation(const session_settings &Settings)
      : Settings(Settings), Database(Events, Settings.Deployment, Settings.Lag,
                                     Settings.Seed * 2 + 1),
        Random(Settings.Seed), Hosts(HostCount), Clients(SessionCount) {}

  session_result run() {
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      startHost(Index);
    for (std::size_t Index = 0; Index < SessionCount; ++Index)
      think(Index);
    Events.runUntil(base::time_point() + RunTime);
    return Result;
  }

private:
  [[nodiscard]] base::duration oneWay(std::size_t Host,
                                      std::size_t Instance) const {
    return Host == Instance ? LocalOneWay : Settings.Deployment.OneWay;
  }

  [[nodiscard]] base::duration stickyTime() const {
    bool IsTuned = Settings.Policy == read_policy::StickyTwiceLag;
    return IsTuned ? 2 * Settings.Lag : StickyTime;
  }

  void after(base::duration Delay, event_queue::callback Callback) {
    Events.schedule(Events.now() + Delay, std::move(Callback));
  }

  void startHost(std::size_t Host) {
    groups::read_router_options Options;
    Options.PrimarySurcharge = Settings.PrimarySurcharge;
    Hosts[Host].Router = groups::read_router(Options);
    for (std::size_t Instance = 0; Instance < Names.size(); ++Instance) {
      Hosts[Host].Router.setInstance(Names[Instance],
                                     2 * oneWay(Host, Instance));
      probe(Host, Instance);
    }
  }

  /// Probes answer at once, on the control connection.
  void probe(std::size_t Host, std::size_t Instance) {
    base::time_point AskedAt = Events.now();
    after(oneWay(Host, Instance), [=, this] {
      groups::instance_status Status = Database.status(Instance);
      after(oneWay(Host, Instance), [=, this] {
        Hosts[Host].Router.observe(Names[Instance], {Status, AskedAt});
      });
    });
    after(ProbeInterval, [=, this] { probe(Host, Instance); });
  }

  void think(std::size_t Client) {
    base::duration Time(std::llround(Random.exponential(MeanThinkUs)));
    after(Time, [=, this] { request(Client); });
  }

  /// Sessions roam: each request reaches any host.
  void request(std::size_t Client) {
    std::size_t Host = Random.below(HostCount);
    bool IsWrite = Random.chance(WriteShare);
    base::time_point SentAt = Events.now();
    after(Settings.Deployment.ClientOneWay, [=, this] {
      if (IsWrite)
        write(Host, Client);
      else
        startRead(Host, Client, SentAt);
    });
  }

  void write(std::size_t Host, std::size_t Client) {
    auto Started = [](const groups::instance_status &) {};
    auto Ended = [=, this] {
      groups::log_position Position = Database.commit();
      after(oneWay(Host, 0), [=, this] {
        Hosts[Host].Router.observeWrite(Position, Events.now());
        acknowledge(Host, Client, Position);
      });
    };
    after(oneWay(Host, 0), [=, this] { Database.run(0, Started, Ended); });
  }

  void acknowledge(std::size_t Host, std::size_t Client,
                   const groups::log_position &Position) {
    base::time_point At = Events.now();
    if (Settings.NeedsMajority)
      At = std::max(At, Database.firstReplicaAt(Position.Offset) +
                            Settings.Deployment.OneWay);
    Events.schedule(At, [=, this] {
      if (Settings.NeedsMajority)
        observeReplicas(Host);
      after(Settings.Deployment.ClientOneWay, [=, this] {
        client &Session = Clients[Client];
        Session.Session.merge(Group, Position);
        Session.Written = std::max(Session.Written, Position.Offset);
        Session.StickyUntil = Events.now() + stickyTime();
        ++Result.Writes;
        think(Client);
      });
    });
  }

  /// The statuses that the acknowledgement rests on are evidence for reads.
  void observeReplicas(std::size_t Host) {
    for (std::size_t Instance = 1; Instance < Names.size(); ++Instance) {
      base::time_point AskedAt = Events.now() - 2 * oneWay(Host, Instance);
      groups::instance_status Status = Database.status(Instance);
      Hosts[Host].Router.observe(Names[Instance], {Status, AskedAt});
    }
  }

  void startRead(std::size_t Host, std::size_t Client,
                 base::time_point SentAt) {
    pending_read Read;
    Read.Host = Host;
    Read.Client = Client;
    Read.SentAt = SentAt;
    Read.Request.Required = Clients[Client].Session.requirementFor(Group);
    Read.Request.Deadline = Events.now() + RequestTimeout;
    if (Settings.Policy == read_policy::Router)
      return routeRead(Read);
    bool IsSticky = Events.now() < Clients[Client].StickyUntil;
    if (Settings.Policy == read_policy::PrimaryOnly || IsSticky)
      return runRead(Read, 0);
    // The replica nearest to the host; both are equally far from host 0.
    runRead(Read, Host == 0 ? 1 + Random.below(2) : Host);
  }

  void routeRead(const pending_read &Read) {
    host &Host = Hosts[Read.Host];
    for (std::size_t Instance = 0; Instance < Names.size(); ++Instance)
      Host.Router.setLoad(
          Names[Instance], Host.Running[Instance],
          MeanService / static_cast<std::int64_t>(Settings.Deployment.Slots));
    groups::read_decision Decision =
        Host.Router.choose(Read.Request, Events.now());
    if (const auto *Run = std::get_if<groups::run_read>(&Decision)) {
      for (std::size_t Instance = 0; Instance < Names.size(); ++Instance)
        if (Names[Instance] == Run->Instance)
          runRead(Read, Instance);
    } else if (const auto *Wait =
                   std::get_if<groups::wait_for_position>(&Decision)) {
      Events.schedule(Wait->Until, [=, this] { routeRead(Read); });
    } else {
      ++Result.RefusedReads;
      think(Read.Client);
    }
  }

  void runRead(const pending_read &Read, std::size_t Instance) {
    ++Hosts[Read.Host].Running[Instance];
    base::time_point AskedAt = Events.now();
    auto Status = std::make_shared<groups::instance_status>();
    auto Started = [Status](const groups::instance_status &Seen) {
      *Status = Seen;
    };
    auto Ended = [=, this] {
      after(oneWay(Read.Host, Instance), [=, this] {
        --Hosts[Read.Host].Running[Instance];
        endRead(Read, Instance, {*Status, AskedAt});
      });
    };
    after(oneWay(Read.Host, Instance),
          [=, this] { Database.run(Instance, Started, Ended); });
  }

  void endRead(const pending_read &Read, std::size_t Instance,
               const groups::status_evidence &Evidence) {
    if (Settings.Policy == read_policy::Router) {
      groups::read_router &Router = Hosts[Read.Host].Router;
      Router.observe(Names[Instance], Evidence);
      groups::read_verdict Verdict = Router.check(
          Read.Request, Names[Instance], Evidence, false, Events.now());
      if (!std::holds_alternative<groups::accept_result>(Verdict)) {
        ++Result.RepeatedRuns;
        pending_read Again = Read;
        ++Again.Request.FailedChecks;
        return routeRead(Again);
      }
    }
    after(Settings.Deployment.ClientOneWay,
          [=, this] { answerRead(Read, Instance, Evidence.Status.Position); });
  }

  void answerRead(const pending_read &Read, std::size_t Instance,
                  const groups::log_position &Position) {
    client &Session = Clients[Read.Client];
    ++Result.Reads;
    if (Instance != 0)
      ++Result.ReplicaReads;
    if (Position.Offset < Session.Written)
      ++Result.StaleReads;
    if (Settings.Policy == read_policy::Router)
      Session.Session.merge(Group, Position);
    Result.ReadLatencies.push_back(Events.now() - Read.SentAt);
    think(Read.Client);
  }

  session_settings Settings;
  event_queue Events;
  fake_group Database;
  base::random_generator Random;
  std::vector<host> Hosts;
  std::vector<client> Clients;
  session_result Result;
};

} // namespace

session_result runSessions(const session_settings &Settings) {
  return simulation(Settings).run();
}

void addResult(session_result &Sum, const session_result &More) {
  Sum.Reads += More.Reads;
  Sum.ReplicaReads += More.ReplicaReads;
  Sum.StaleReads += More.StaleReads;
  Sum.RefusedReads += More.RefusedReads;
  Sum.RepeatedRuns += More.RepeatedRuns;
  Sum.Writes += More.Writes;
  Sum.ReadLatencies.insert(Sum.ReadLatencies.end(), More.ReadLatencies.begin(),
                           More.ReadLatencies.end());
}

} // namespace radishrelay::bench
