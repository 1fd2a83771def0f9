#ifndef RADISHRELAY_ACCOUNTS_TESTS_CHECKED_FLEET_H
#define RADISHRELAY_ACCOUNTS_TESTS_CHECKED_FLEET_H

#include "fake_fleet.h"
#include "reference_bucket.h"

#include <map>
#include <string>

namespace radishrelay::accounts::fakes {

/// A fake_fleet whose limits are checked: every admission must find a token in
/// the reference bucket of its account, and after every step the available and
/// lent tokens must stay within the shares and, over all hosts, the burst.
class checked_fleet {
public:
  explicit checked_fleet(std::uint64_t Seed) : Fleet(Seed) {
    Fleet.OnDecision = [this](const fake_fleet::host &Host,
                              const request_decided &Decided) {
      recordDecision(Host, Decided);
    };
    Fleet.OnStep = [this](const fake_fleet::host &Host) { check(Host); };
  }

  void addAccount(const std::string &Name, std::int64_t Rate,
                  std::int64_t Burst) {
    base::account_id Account(Name);
    Fleet.Configuration.Accounts.push_back({Account, Rate, Burst});
    ReferenceBuckets.emplace(Account, reference_bucket(Rate, Burst));
  }

  /// Replaces the reference bucket of an account by a full one of new limits.
  void setBound(const std::string &Name, std::int64_t Rate,
                std::int64_t Burst) {
    ReferenceBuckets.at(base::account_id(Name)) = {Rate, Burst};
  }

  /// Sends evenly spaced requests of one account to one host until \p End.
  void load(fake_fleet::host &Host, const std::string &Account,
            std::int64_t PerSecond, base::time_point End) {
    if (Fleet.Queue.now() >= End)
      return;
    Fleet.request(Host, base::account_id(Account));
    Fleet.Queue.after(base::duration(1'000'000 / PerSecond), [=, this, &Host] {
      load(Host, Account, PerSecond, End);
    });
  }

  /// Number of admissions of \p Account so far, on \p Host or, if it is empty,
  /// on all hosts.
  std::int64_t admittedOf(const std::string &Account,
                          const std::string &Host = "") const {
    auto Found = Admitted.find({Account, Host});
    return Found == Admitted.end() ? 0 : Found->second;
  }

  fake_fleet Fleet;
  /// Burst (tokens) that all hosts together may hold while limits change.
  std::int64_t MaxBurst = 0;
  /// Description of the first violation; empty without one.
  std::string Violation;

private:
  /// Tokens that a host held after its last step.
  struct held_tokens {
    /// Available or on loan to others, according to the lender.
    token_amount Lendable = 0;
    /// Available or on loan from others, according to the borrower.
    token_amount Spendable = 0;
    base::time_point ObservedAt;
  };

  void reportViolation(const std::string &What, const fake_fleet::host &Host) {
    if (Violation.empty())
      Violation = What + " on " + Host.Identity.Host.str() + " at " +
                  std::to_string(base::toMicroseconds(Fleet.Queue.now())) +
                  " us";
  }

  void recordDecision(const fake_fleet::host &Host,
                      const request_decided &Decided) {
    if (!std::holds_alternative<admitted>(Decided.Admission))
      return;
    const std::string &Account = Decided.Account.str();
    ++Admitted[{Account, ""}];
    ++Admitted[{Account, Host.Identity.Host.str()}];
    if (!ReferenceBuckets.at(Decided.Account).take(Fleet.Queue.now()))
      reportViolation("admission of " + Account + " above rate and burst",
                      Host);
  }

  void check(const fake_fleet::host &Host) {
    base::json Dump = Host.Limiter->dump();
    std::int64_t Now = base::toMicroseconds(Fleet.localTime(Host));
    for (const account_limits &Limits : Fleet.Configuration.Accounts) {
      if (!Dump["accounts"].contains(Limits.Account.str()))
        continue;
      const base::json &State = Dump["accounts"][Limits.Account.str()];
      held_tokens Held;
      for (const char *Name : {"floor", "leased"}) {
        const base::json &Pool = State[Name];
        token_amount OnLoan = Pool["outstanding"].get<token_amount>();
        token_amount Level = Pool["level"].get<token_amount>();
        if (Level > 0 && Level + OnLoan > Pool["burst"].get<token_amount>())
          reportViolation("tokens above the burst share", Host);
        if (Now < Pool["deadline_us"].get<std::int64_t>())
          Held = {Held.Lendable + Level + OnLoan, Held.Spendable + Level, {}};
      }
      for (const base::json &Loan : State["borrowed"])
        if (Now < Loan["deadline_us"].get<std::int64_t>())
          Held.Spendable += Loan["unspent"].get<token_amount>();
      checkTotal(Limits, Held, Host);
    }
  }

  void checkTotal(const account_limits &Limits, held_tokens Held,
                  const fake_fleet::host &Host) {
    auto &ByHost = HeldBy[Limits.Account];
    Held.ObservedAt = Fleet.Queue.now();
    ByHost[Host.Identity.Host] = Held;
    // Skips paused hosts, whose leases may have ended since their last step.
    // They count again from their first step after the pause.
    base::time_point Oldest = Fleet.Queue.now() - 2 * timing::TickInterval;
    token_amount Lendable = 0;
    token_amount Spendable = 0;
    for (const auto &[Id, Known] : ByHost)
      if (Known.ObservedAt >= Oldest && Fleet.Hosts.at(Id).Limiter) {
        Lendable += Known.Lendable;
        Spendable += Known.Spendable;
      }
    token_amount Bound = std::max(Limits.Burst, MaxBurst) * OneToken;
    if (std::max(Lendable, Spendable) > Bound)
      reportViolation(
          "more tokens of " + Limits.Account.str() + " than its burst", Host);
  }

  std::map<base::account_id, reference_bucket> ReferenceBuckets;
  std::map<std::pair<std::string, std::string>, std::int64_t> Admitted;
  std::map<base::account_id, std::map<base::host_id, held_tokens>> HeldBy;
};

} // namespace radishrelay::accounts::fakes

#endif
