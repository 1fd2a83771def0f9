#include "radishrelay/accounts/account_limiter.h"

#include "radishrelay/accounts/limits_timing.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishrelay::accounts {

namespace {

/// After this time the next lender is asked. A later grant is still accepted.
constexpr base::duration LoanTimeout = std::chrono::milliseconds(10);
/// A loan is returned this long before it ends, so that the lender gets the
/// unspent tokens back in time.
constexpr base::duration LoanReturnLead = std::chrono::milliseconds(200);
constexpr std::size_t MaxTimedOutRequests = 8;
constexpr base::duration OwnerUpdateInterval = std::chrono::seconds(1);
constexpr base::duration MinRetryDelay = std::chrono::milliseconds(50);
constexpr base::duration MaxRetryDelay = std::chrono::seconds(60);

base::time_point validUntil(base::time_point Deadline, base::time_point Now) {
  return std::min(Deadline, Now + timing::MaxActionDelay);
}

} // namespace

account_limiter::account_limiter(const host_identity &Self,
                                 limiter_options Options)
    : Self(Self), Options(Options), Slots(Self), Shares(Self), Owners(Self) {}

limiter_actions account_limiter::configure(limits_configuration Configuration,
                                           base::time_point Now) {
  if (Phases.adopt(std::move(Configuration), Now))
    updateAccounts(Now);
  return takeActions();
}

limiter_actions account_limiter::setLive(std::vector<live_host> Hosts,
                                         base::time_point Now) {
  Owners.setLive(std::move(Hosts), Now);
  updateOwners(Now);
  return takeActions();
}

void account_limiter::updateAccounts(base::time_point Now) {
  for (const account_limits &Limits : Phases.newest().Accounts)
    Accounts[Limits.Account].Limits.Account = Limits.Account;
  for (auto &[Account, State] : Accounts) {
    auto Limits = Phases.limitsOf(Account);
    State.Removed = !Limits.has_value();
    State.Limits = Limits.value_or(account_limits{Account, 0, 0});
    if (State.Removed)
      removeAccount(State, Now);
  }
  std::erase_if(Accounts, [](const auto &Entry) {
    return Entry.second.Removed && !Entry.second.Tokens.hasLoans();
  });
  updateOwners(Now);
}

void account_limiter::removeAccount(account_state &State,
                                    base::time_point Now) {
  for (const waiting_request &Request : State.Waiting)
    emitDecision(Request.Request, State,
                 refused{refusal_reason::AccountUnknown, Now + MaxRetryDelay});
  State.Waiting.clear();
  returnLoans(State, base::time_point::max(), Now);
}

void account_limiter::updateOwners(base::time_point Now) {
  OwnersUpdatedAt = Now;
  for (auto &[Account, State] : Accounts) {
    State.Owner = Owners.owner(Account, Self.FailureDomain, Now);
    State.Lenders.setHosts(Owners.lenders(Account, Options.Scope, Now));
  }
}

account_limiter::account_state *
account_limiter::find(const base::account_id &Account) {
  auto Found = Accounts.find(Account);
  return Found == Accounts.end() ? nullptr : &Found->second;
}

void account_limiter::advance(account_state &State, base::time_point Now) {
  pool_lease Floor;
  if (Settled && Slots.floorUsable(Now))
    Floor = {shareOf(State.Limits, Phases.floorSharePerSlot()),
             Slots.deadline()};
  const base::account_id &Account = State.Limits.Account;
  pool_lease Leased{shareOf(State.Limits, Shares.share(Account, Now)),
                    Shares.deadline(Account)};
  State.Tokens.advance(Floor, Leased, Now);
}

limiter_actions account_limiter::admit(request_number Request,
                                       const base::account_id &Account,
                                       base::time_point WaitUntil,
                                       base::time_point Now) {
  account_state *State = find(Account);
  if (!State || State->Removed) {
    account_state Unknown;
    Unknown.Limits.Account = Account;
    emitDecision(Request, Unknown,
                 refused{refusal_reason::AccountUnknown, Now + MaxRetryDelay});
    return takeActions();
  }
  advance(*State, Now);
  State->Tokens.LocalDemand.add(OneToken);
  State->Tokens.DomainDemand.add(OneToken);
  bool First = State->Waiting.empty();
  if (First && tryAdmit(Request, *State, Now)) {
    borrow(*State, Now);
    return takeActions();
  }
  base::time_point Until = std::min(WaitUntil, Now + Options.MaxWait);
  bool Waits = Until > Now &&
               State->Waiting.size() < Options.MaxWaitingRequests &&
               mayBorrowBefore(*State, Until);
  if (!Waits) {
    emitDecision(Request, *State, refusal(*State, Now));
    return takeActions();
  }
  State->Waiting.push_back({Request, Until});
  emitDecision(Request, *State, waiting{Until});
  borrow(*State, Now);
  return takeActions();
}

bool account_limiter::tryAdmit(request_number Request, account_state &State,
                               base::time_point Now) {
  auto Deadline = State.Tokens.takeOne(Now);
  if (!Deadline)
    return false;
  emitDecision(Request, State, admitted{validUntil(*Deadline, Now)});
  return true;
}

bool account_limiter::mayBorrowBefore(const account_state &State,
                                      base::time_point Until) const {
  return State.Sent || State.Lenders.nextChoiceAt() < Until;
}

refused account_limiter::refusal(const account_state &State,
                                 base::time_point Now) const {
  std::int64_t Rate = std::max<std::int64_t>(1, State.Limits.RatePerSecond);
  base::duration PerToken = std::chrono::microseconds(1'000'000 / Rate);
  base::duration Wait = std::clamp(PerToken, MinRetryDelay, MaxRetryDelay);
  return {refusal_reason::RateExceeded, Now + Wait};
}

void account_limiter::serveWaiting(account_state &State, base::time_point Now) {
  while (!State.Waiting.empty()) {
    waiting_request Request = State.Waiting.front();
    bool Served = Request.Until > Now && tryAdmit(Request.Request, State, Now);
    bool Waits =
        !Served && Request.Until > Now && mayBorrowBefore(State, Request.Until);
    if (Waits)
      return;
    if (!Served)
      emitDecision(Request.Request, State, refusal(State, Now));
    State.Waiting.pop_front();
  }
}

void account_limiter::emitDecision(request_number Request,
                                   const account_state &State,
                                   admission Admission) {
  Actions.push_back(request_decided{Request, State.Limits.Account, Admission});
}

limiter_actions account_limiter::tick(base::time_point Now) {
  Phases.advance(Now);
  Settled = Phases.settled(Now);
  if (Phases.hasConfiguration() &&
      Now >= OwnersUpdatedAt + OwnerUpdateInterval) {
    // Owners change when hosts reach OwnerMinUptime, limits when phases end.
    updateAccounts(Now);
  }
  for (auto &[Account, State] : Accounts)
    tickAccount(State, Now);
  finishDrain(Now);
  pollStore(Now);
  return takeActions();
}

void account_limiter::tickAccount(account_state &State, base::time_point Now) {
  advance(State, Now);
  if (State.Sent && Now >= State.Sent->SentAt + LoanTimeout) {
    State.Lenders.recordTimeout(State.Sent->Lender, Now);
    State.TimedOut.push_back(*std::exchange(State.Sent, std::nullopt));
    if (State.TimedOut.size() > MaxTimedOutRequests)
      State.TimedOut.pop_front();
  }
  serveWaiting(State, Now);
  borrow(State, Now);
  returnLoans(State, Now + LoanReturnLead, Now);
}

limiter_actions account_limiter::storeAnswered(store_requester User,
                                               const base::store_answer &Answer,
                                               base::time_point Now) {
  if (User == store_requester::HostSlots)
    Slots.answer(Answer, Now);
  else
    Shares.answer(Answer, Now);
  pollStore(Now);
  return takeActions();
}

void account_limiter::pollStore(base::time_point Now) {
  if (auto Request = Slots.poll(Phases.slotCount(), Now))
    Actions.push_back(
        ask_store{store_requester::HostSlots, *std::move(Request)});
  if (!Settled)
    return;
  if (auto Request = Shares.poll(shareRequests(), Phases, Now))
    Actions.push_back(
        ask_store{store_requester::LeasedShares, *std::move(Request)});
  // A lower share applies as soon as its write is sent.
  for (auto &[Account, State] : Accounts)
    advance(State, Now);
}

std::vector<share_request> account_limiter::shareRequests() const {
  std::vector<share_request> Requests;
  for (const auto &[Account, State] : Accounts) {
    bool Owner = !Draining && !State.Removed && State.Owner == Self.Host;
    // One unit per microsecond is one millionth of a token per second.
    std::int64_t Demand = State.Tokens.DomainDemand.rate() / WholeInMillionths;
    millionths Lent = State.Tokens.leasedShareOnLoan(State.Limits.Burst);
    Requests.push_back({Account, Owner, Demand, Lent});
  }
  return Requests;
}

limiter_actions account_limiter::takeActions() {
  return std::exchange(Actions, {});
}

bool account_limiter::holdsSlot(base::time_point Now) const {
  return Slots.holds(Now);
}

limiter_actions account_limiter::drain(base::time_point Now) {
  Draining = true;
  for (auto &[Account, State] : Accounts)
    returnLoans(State, base::time_point::max(), Now);
  return takeActions();
}

void account_limiter::finishDrain(base::time_point Now) {
  // The slot is released last: its removal enlarges the leased shares of
  // others, which must not coexist with loans from this host's floor share.
  if (Draining && !anyAccountHasLoans() && !Slots.released())
    Slots.release(Now);
}

bool account_limiter::anyAccountHasLoans() const {
  return std::any_of(Accounts.begin(), Accounts.end(), [](const auto &Entry) {
    return Entry.second.Tokens.hasLoans();
  });
}

bool account_limiter::drained(base::time_point Now) const {
  return Draining && !anyAccountHasLoans() && !Shares.holdsAnyLease(Now) &&
         Slots.released();
}

base::json account_limiter::dump() const {
  base::json Dump = {{"draining", Draining}, {"settled", Settled}};
  Dump["configurations"] = Phases.dump();
  Dump["slot"] = Slots.dump();
  Dump["shares"] = Shares.dump();
  Dump["accounts"] = base::json::object();
  for (const auto &[Account, State] : Accounts) {
    base::json Entry = State.Tokens.dump();
    Entry["owner"] = State.Owner.str();
    Entry["waiting"] = State.Waiting.size();
    Dump["accounts"][Account.str()] = std::move(Entry);
  }
  return Dump;
}

} // namespace radishrelay::accounts
