#ifndef RADISHRELAY_GROUPS_TESTS_SIMULATION_H
#define RADISHRELAY_GROUPS_TESTS_SIMULATION_H

#include "fake_instance.h"
#include "fake_store.h"
#include "message_queue.h"
#include "sim_host.h"

namespace radishrelay::groups::testing {

enum class write_result { Open, Acknowledged, NotRun, Unknown };

/// A simulated write with the outcome that its caller was told.
struct write_record {
  base::time_point StartedAt;
  base::time_point EndedAt;
  write_result Result = write_result::Open;
  /// Position after the write, set by the instance that committed it; term 0 if
  /// it was not committed.
  log_position Position;
};

/// Simulation of one database group: hosts, instances and the table service
/// exchange messages in virtual time. Each failure domain has one host and one
/// instance; each host starts writes at a fixed interval.
class simulation : public message_queue {
public:
  explicit simulation(const simulation_options &Options)
      : message_queue(Options), Instances(Domains), Hosts(Domains) {
    Store.Domain = Domains;
    Store.Row = {groupRecordKey(base::group_id("permits")), 1,
                 toJson({1, "setup", "setup", base::instance_id("i0")})};
    for (std::size_t Domain = 0; Domain < Domains; ++Domain) {
      Instances[Domain].Domain = Hosts[Domain].Domain = Domain;
      Instances[Domain].Id = base::instance_id("i" + std::to_string(Domain));
    }
    Instances[0].Role = instance_role::Primary;
    for (sim_host &Host : Hosts) {
      restart(Host);
      startWrite(Host);
    }
    replicate();
  }

  /// Stops \p Node and drops the messages that are on their way to it.
  static void crash(sim_node &Node) {
    Node.IsAlive = false;
    ++Node.Incarnation;
  }

  /// Restarts a host without its state. The outcome of its open writes is
  /// unknown.
  void restart(sim_host &Host) {
    ++Host.Incarnation;
    Host.WakeAt = base::time_point::max();
    for (const auto &Entry : std::exchange(Host.Attempts, {}))
      Writes[Entry.first].Result = write_result::Unknown;
    failover_options Setup = Options.Timing;
    Setup.Group = base::group_id("permits");
    for (const fake_instance &Instance : Instances)
      Setup.Instances.push_back(Instance.Id);
    std::string Number = std::to_string(Host.Domain);
    Setup.Host = base::host_id("h" + Number);
    Setup.FailureDomain = base::failure_domain_id("d" + Number);
    Setup.Incarnation = std::to_string(Host.Incarnation);
    Host.Failover.emplace(Setup, Options.Strategy,
                          base::random_generator(Random()));
    write_tracker_options Pacing;
    Pacing.MinCallInterval = Options.MinCallInterval;
    Host.Tracker.emplace(Pacing, Options.Strategy, Setup.Instances);
    if (Options.Strategy->waitsForLeases())
      Host.Leases.emplace(Setup);
    handleFailoverEvent(Host, time_passed{});
  }

  std::vector<fake_instance> Instances;
  std::vector<sim_host> Hosts;
  fake_store Store;
  std::vector<write_record> Writes;
  /// Writes in the order in which they ended.
  std::vector<write_id> Ended;
  /// Time at which a promoter first left the idle stage.
  std::optional<base::time_point> DetectedAt;
  bool IsWriting = true;

private:
  /// Runs \p Serve at \p To and \p Receive with its result at \p Host; request
  /// and answer are messages.
  template <typename Server, typename Receiver>
  void call(sim_host &Host, sim_node &To, Server Serve, Receiver Receive) {
    post(Host, To, [this, &Host, &To, Serve, Receive, I = Host.Incarnation] {
      auto Result = Serve();
      if (Host.Incarnation == I)
        post(To, Host, [Receive, Result] { Receive(Result); });
    });
  }

  void handleFailoverEvent(sim_host &Host, const failover_event &Event) {
    for (const failover_action &Action : Host.Failover->handle(Event, Now))
      std::visit([&](const auto &Content) { execute(Host, Content); }, Action);
    if (Host.Failover->promotionStage() != promotion_stage::Idle)
      DetectedAt = DetectedAt.value_or(Now);
    sendWrites(Host);
    schedule(Host);
  }

  void handleWriteEvent(sim_host &Host, const write_event &Event) {
    for (const write_action &Action : Host.Tracker->handle(Event, Now))
      std::visit([&](const auto &Content) { execute(Host, Content); }, Action);
    schedule(Host);
  }

  void execute(sim_host &Host, const instance_call &Call) {
    fake_instance &To = instance(Call.Instance);
    call(
        Host, To, [&To, Call, Asked = Now] { return To.answer(Call, Asked); },
        [this, &Host](const instance_answer &Answer) {
          handleFailoverEvent(Host, Answer);
          handleWriteEvent(Host, Answer);
        });
  }

  void execute(sim_host &Host, const store_call &Call, bool IsLease = false) {
    call(
        Host, Store, [this, Call] { return Store.run(Call.Request); },
        [this, &Host, Id = Call.Id, IsLease](const base::store_answer &Answer) {
          if (!IsLease)
            handleFailoverEvent(Host, store_call_answer{Id, Answer});
          else if (auto Lease = Host.Leases->handle({Id, Answer}))
            handleWriteEvent(Host, *Lease);
        });
  }

  void execute(sim_host &Host, const promotion_vote &Message) {
    for (sim_host &Other : Hosts)
      if (&Other != &Host)
        post(Host, Other,
             [this, &Other, Message] { handleFailoverEvent(Other, Message); });
  }

  void execute(sim_host &Host, const group_view &) {
    if (Host.Leases)
      Host.Leases->renew(Now);
  }
  void execute(sim_host &, const acknowledge_write &Action) {
    end(Action.Write, write_result::Acknowledged);
  }
  void execute(sim_host &, const report_unknown &Action) {
    end(Action.Write, write_result::Unknown);
  }

  void schedule(sim_host &Host) {
    constexpr base::time_point Never = base::time_point::max();
    base::time_point At = Host.Failover->nextWake();
    At = std::min(At, Host.Tracker->nextWake().value_or(Never));
    if (Host.Leases)
      At = std::min(At, Host.Leases->nextWake());
    for (const auto &[Write, Attempt] : Host.Attempts)
      At = std::min(At, Attempt.deadline());
    At = std::max(At, Now + base::duration(1));
    if (At >= Host.WakeAt)
      return;
    Host.WakeAt = At;
    after(At - Now, [this, &Host, At, I = Host.Incarnation] {
      deliver(Host, I, [this, &Host, At] {
        if (Host.WakeAt == At)
          wake(Host);
      });
    });
  }

  void wake(sim_host &Host) {
    Host.WakeAt = base::time_point::max();
    handleFailoverEvent(Host, time_passed{});
    handleWriteEvent(Host, time_passed{});
    if (!Host.Leases)
      return;
    if (auto Call = Host.Leases->advance(Now))
      execute(Host, *Call, true);
    schedule(Host);
  }

  void startWrite(sim_host &Host) {
    after(Options.WriteInterval, [this, &Host] { startWrite(Host); });
    if (!IsWriting || Now < Host.PausedUntil)
      return;
    Host.Attempts.emplace(Writes.size(),
                          write_attempt(Now + Options.WriteTimeout));
    Writes.push_back({Now, {}, write_result::Open, {}});
    sendWrites(Host);
    schedule(Host);
  }

  void sendWrites(sim_host &Host) {
    for (auto &[Write, Attempt] : Host.Attempts) {
      Attempt.expire(Now);
      if (Attempt.state() == attempt_state::NotRun)
        end(Write, write_result::NotRun);
      if (Attempt.state() == attempt_state::Unknown)
        end(Write, write_result::Unknown);
      if (auto To = Attempt.trySend(Host.Failover->view(), Now))
        runWrite(Host, Write, instance(*To));
    }
    std::erase_if(Host.Attempts, [this](const auto &Entry) {
      return Writes[Entry.first].Result != write_result::Open;
    });
  }

  void runWrite(sim_host &Host, write_id Write, fake_instance &To) {
    auto Commit = [this, Write, &To]() -> std::optional<log_position> {
      log_position &Position = Writes[Write].Position;
      if (Position.Term > 0)
        return Position; // a repeated message: the write has run already
      auto Committed = To.commit(Write);
      if (!Committed)
        return {};
      for (fake_instance &Other : Instances)
        pushLog(To, Other, Committed->Offset - 1, 1);
      return Position = *Committed;
    };
    call(Host, To, Commit, [this, &Host, Write](const auto &Position) {
      auto Attempt = Host.Attempts.find(Write);
      if (Attempt == Host.Attempts.end())
        return;
      if (!Position) {
        Attempt->second.refusedByInstance();
        return;
      }
      base::time_point Deadline = Attempt->second.deadline();
      Host.Attempts.erase(Attempt);
      handleWriteEvent(Host, committed_write{Write, *Position, Now, Deadline});
    });
  }

  void end(write_id Write, write_result Result) {
    Writes[Write].Result = Result;
    Writes[Write].EndedAt = Now;
    Ended.push_back(Write);
  }

  fake_instance &instance(const base::instance_id &Id) {
    return *std::ranges::find(Instances, Id, &fake_instance::Id);
  }

  void pushLog(fake_instance &From, fake_instance &To, log_offset Offset,
               std::size_t Limit) {
    if (&From == &To || From.Role != instance_role::Primary || !From.IsAlive)
      return;
    // The entries wait at the sender, so they are lost if it crashes before it
    // sends them.
    after(Options.ReplicationLag,
          [this, &From, &To, Segment = From.segment(Offset, Limit),
           I = From.Incarnation] {
            deliver(From, I, [this, &From, &To, Segment] {
              post(From, To, [&To, Segment] { To.follow(Segment); });
            });
          });
  }

  /// Sends entries that replicas lack because messages were lost, every 50 ms.
  /// A long gap takes several rounds, so that failovers also meet replicas
  /// whose log ends before the start of their term.
  void replicate() {
    constexpr std::size_t RepairLimit = 40;
    for (fake_instance &From : Instances)
      for (fake_instance &To : Instances)
        pushLog(From, To, std::min(To.Log.size(), From.Log.size()),
                RepairLimit);
    after(std::chrono::milliseconds(50), [this] { replicate(); });
  }
};

} // namespace radishrelay::groups::testing

#endif
