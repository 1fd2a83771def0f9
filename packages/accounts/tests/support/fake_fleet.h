#ifndef RADISHRELAY_ACCOUNTS_TESTS_FAKE_FLEET_H
#define RADISHRELAY_ACCOUNTS_TESTS_FAKE_FLEET_H

#include "event_queue.h"
#include "fake_store.h"

#include "radishrelay/accounts/account_limiter.h"
#include "radishrelay/accounts/limits_timing.h"
#include "radishrelay/base/random_generator.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace radishrelay::accounts::fakes {

/// Probabilities of faults and delays in the network and the store.
struct fault_rates {
  double MessageLost = 0;
  double MessageRepeated = 0;
  double MessageDelayed = 0;
  double StoreNotDone = 0;
  double StoreAnswerLost = 0;
  double StoreAnswerDelayed = 0;
  /// The host's thread pauses between a decision and its execution.
  double Stall = 0;
};

/// Simulates hosts with one limiter each, their clocks, the network between
/// them and the store.
class fake_fleet {
public:
  struct host {
    host_identity Identity;
    std::optional<account_limiter> Limiter;
    base::duration ClockOffset{};
    /// Parts per million by which the host's clock is slow.
    std::int64_t ClockSlowPpm = 0;
    base::time_point PausedUntil;
  };

  explicit fake_fleet(std::uint64_t Seed) : Random(Seed) {}

  host &addHost(const std::string &Name, const std::string &Domain) {
    base::host_id Id(Name);
    host &Host = Hosts[Id];
    Host.Identity = {Id, base::failure_domain_id(Domain), 0};
    return Host;
  }

  /// Starts the process of a host without state of an earlier one.
  void start(host &Host) {
    Host.Identity.Incarnation = ++LastIncarnation;
    Host.Limiter.emplace(Host.Identity, Options);
    std::uint64_t Incarnation = LastIncarnation;
    run(Host, [this](account_limiter &Limiter, base::time_point Now) {
      return Limiter.configure(Configuration, Now);
    });
    announce();
    tick(Host, Incarnation);
  }

  void crash(host &Host) { Host.Limiter.reset(); }

  /// Sends every running host the list of running hosts.
  void announce() {
    std::vector<live_host> Live;
    for (const auto &[Id, Host] : Hosts)
      if (Host.Limiter)
        Live.push_back({Id, Host.Identity.FailureDomain});
    for (auto &[Id, Host] : Hosts)
      announceTo(Host, Live);
  }

  void announceTo(host &Host, const std::vector<live_host> &Live) {
    run(Host, [Live](account_limiter &Limiter, base::time_point Now) {
      return Limiter.setLive(Live, Now);
    });
  }

  void configure(host &Host, const limits_configuration &New) {
    run(Host, [New](account_limiter &Limiter, base::time_point Now) {
      return Limiter.configure(New, Now);
    });
  }

  /// Sends a caller's request to \p Host. OnDecision receives the decision.
  request_number request(host &Host, const base::account_id &Account) {
    request_number Number = ++LastRequest;
    run(Host, [=](account_limiter &Limiter, base::time_point Now) {
      return Limiter.admit(Number, Account, base::time_point::max(), Now);
    });
    return Number;
  }

  base::time_point localTime(const host &Host) const {
    std::int64_t Elapsed = base::toMicroseconds(Queue.now());
    std::int64_t Slow = Elapsed * Host.ClockSlowPpm / 1'000'000;
    return Queue.now() + Host.ClockOffset - base::duration(Slow);
  }

  bool canReach(const host &From, const host &To) const {
    return From.Identity.FailureDomain == To.Identity.FailureDomain ||
           (!Partitioned.count(From.Identity.FailureDomain) &&
            !Partitioned.count(To.Identity.FailureDomain));
  }

  void advance(base::duration Time) { Queue.runUntil(Queue.now() + Time); }

  using step =
      std::function<limiter_actions(account_limiter &, base::time_point)>;

  /// Runs \p Step on the host's thread, after the pause if it is paused.
  void run(host &Host, const step &Step) {
    if (!Host.Limiter)
      return;
    if (Host.PausedUntil > Queue.now()) {
      std::uint64_t Incarnation = Host.Identity.Incarnation;
      Queue.at(Host.PausedUntil, [this, &Host, Incarnation, Step] {
        if (Host.Identity.Incarnation == Incarnation)
          run(Host, Step);
      });
      return;
    }
    limiter_actions Actions = Step(*Host.Limiter, localTime(Host));
    if (OnStep)
      OnStep(Host);
    if (!Random.chance(Faults.Stall))
      return execute(Host, Actions);
    Host.PausedUntil = Queue.now() + base::duration(Random.below(5'000'000));
    std::uint64_t Incarnation = Host.Identity.Incarnation;
    Queue.at(Host.PausedUntil, [this, &Host, Incarnation, Actions] {
      if (Host.Limiter && Host.Identity.Incarnation == Incarnation)
        execute(Host, Actions);
    });
  }

  event_queue Queue;
  fake_store Store;
  base::random_generator Random;
  std::map<base::host_id, host> Hosts;
  limits_configuration Configuration;
  limiter_options Options;
  fault_rates Faults;
  bool StoreDown = false;
  /// Failure domains that cannot reach the store and the other domains.
  std::set<base::failure_domain_id> Partitioned;
  base::duration IntraDomainLatency = std::chrono::microseconds(500);
  base::duration InterDomainLatency = std::chrono::milliseconds(1);
  base::duration StoreLatency = std::chrono::milliseconds(2);
  std::uint64_t Messages = 0;
  std::function<void(const host &, const request_decided &)> OnDecision;
  std::function<void(const host &)> OnStep;

private:
  void tick(host &Host, std::uint64_t Incarnation) {
    if (Host.Identity.Incarnation != Incarnation || !Host.Limiter)
      return;
    run(Host, [](account_limiter &Limiter, base::time_point Now) {
      return Limiter.tick(Now);
    });
    Queue.at(std::max(Queue.now() + timing::TickInterval, Host.PausedUntil),
             [this, &Host, Incarnation] { tick(Host, Incarnation); });
  }

  void execute(host &Host, const limiter_actions &Actions) {
    for (const limiter_action &Action : Actions)
      std::visit([&](const auto &Body) { executeAction(Host, Body); }, Action);
  }

  void executeAction(host &Host, const request_decided &Decided) {
    const auto *Admitted = std::get_if<admitted>(&Decided.Admission);
    bool IsVoid = Admitted && localTime(Host) > Admitted->ValidUntil;
    if (OnDecision && !IsVoid)
      OnDecision(Host, Decided);
  }

  void executeAction(host &Host, const send_loan_message &Action) {
    auto To = Hosts.find(Action.To);
    if (To == Hosts.end() || localTime(Host) > Action.ValidUntil)
      return;
    ++Messages;
    if (!canReach(Host, To->second) || Random.chance(Faults.MessageLost))
      return;
    bool SameDomain =
        Host.Identity.FailureDomain == To->second.Identity.FailureDomain;
    int Copies = Random.chance(Faults.MessageRepeated) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      base::duration Delay =
          SameDomain ? IntraDomainLatency : InterDomainLatency;
      if (Random.chance(Faults.MessageDelayed))
        Delay += base::duration(Random.below(3'000'000));
      Queue.after(Delay, [this, &Host, &Target = To->second, Action] {
        run(Target, [From = Host.Identity.Host,
                     Action](account_limiter &Limiter, base::time_point Now) {
          return Limiter.receive(From, Action.Message, Now);
        });
      });
    }
  }

  void executeAction(host &Host, const ask_store &Action) {
    std::uint64_t Incarnation = Host.Identity.Incarnation;
    bool Unavailable = StoreDown ||
                       Partitioned.count(Host.Identity.FailureDomain) ||
                       Random.chance(Faults.StoreNotDone);
    base::duration RequestDelay = StoreLatency;
    if (Random.chance(Faults.MessageDelayed))
      RequestDelay += base::duration(Random.below(2'000'000));
    Queue.after(RequestDelay, [this, &Host, Action, Unavailable, Incarnation] {
      base::store_answer Answer;
      Answer.Outcome = base::store_outcome::NotDone;
      if (!Unavailable)
        Answer = Store.apply(Action.Request);
      bool Lost = Random.chance(Faults.StoreAnswerLost);
      if (Lost)
        Answer = base::store_answer();
      base::duration AnswerDelay =
          Lost ? base::duration(std::chrono::milliseconds(300)) : StoreLatency;
      bool IsWrite =
          std::holds_alternative<base::store_transaction>(Action.Request);
      if (IsWrite && Random.chance(Faults.StoreAnswerDelayed))
        AnswerDelay += base::duration(Random.below(2'500'000));
      Queue.after(AnswerDelay, [this, &Host, Action, Answer, Incarnation] {
        if (Host.Identity.Incarnation == Incarnation)
          run(Host,
              [Action, Answer](account_limiter &Limiter, base::time_point Now) {
                return Limiter.storeAnswered(Action.User, Answer, Now);
              });
      });
    });
  }

  std::uint64_t LastIncarnation = 0;
  request_number LastRequest = 0;
};

} // namespace radishrelay::accounts::fakes

#endif
