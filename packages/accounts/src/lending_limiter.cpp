#include "radishrelay/accounts/lending_limiter.h"

#include <algorithm>
#include <cmath>

namespace radishrelay::accounts {

namespace {

/// Interval over which demand is measured. Shorter intervals contain too few
/// requests.
constexpr base::duration DemandInterval = std::chrono::milliseconds(1000);
/// A loan request covers the expected demand of this time, so that the loan is
/// spent before it expires.
constexpr double LoanSeconds = 0.5;
/// A lender keeps the expected demand of this time for its own callers.
constexpr double ReserveSeconds = 0.3;

} // namespace

void lending_limiter::configure(
    const std::map<base::account_id, account_share> &Shares,
    base::time_point Now) {
  std::erase_if(
      States, [&](const auto &Entry) { return !Shares.contains(Entry.first); });
  for (const auto &[Account, Held] : Shares) {
    token_share TokenShare = shareOf(Held.Limits, Held.Share);
    auto [Entry, IsNew] = States.try_emplace(Account);
    Entry->second.HasStrictLoans = Held.HasStrictLoans;
    if (IsNew) {
      Entry->second.Bucket = token_bucket(TokenShare, Now);
      Entry->second.IntervalStartedAt = Now;
    } else {
      bool IsLowered = TokenShare.Rate < Entry->second.Bucket.share().Rate;
      Entry->second.Bucket.setShare(TokenShare, Now);
      if (IsLowered)
        limitLoans(Entry->second, TokenShare.Burst);
    }
  }
}

void lending_limiter::limitLoans(account_state &State, token_amount Limit) {
  for (loan &Loan : State.Loans) {
    Loan.Tokens = std::min(Loan.Tokens, Limit);
    Limit -= Loan.Tokens;
  }
}

void lending_limiter::updateDemand(account_state &State, base::time_point Now) {
  while (!State.Loans.empty() && Now > State.Loans.front().EndsAt)
    State.Loans.pop_front();
  base::duration Elapsed = Now - State.IntervalStartedAt;
  if (Elapsed >= DemandInterval) {
    State.DemandRate = static_cast<double>(State.Demand) * 1e6 /
                       static_cast<double>(Elapsed.count());
    State.Demand = 0;
    State.IntervalStartedAt = Now;
  }
}

std::int64_t lending_limiter::wholeTokens(const account_state &State) {
  token_amount Borrowed = 0;
  for (const loan &Loan : State.Loans)
    Borrowed += Loan.Tokens;
  return (State.Bucket.level() + Borrowed) / OneToken;
}

void lending_limiter::recordDemand(const base::account_id &Account,
                                   base::time_point Now) {
  auto Entry = States.find(Account);
  if (Entry == States.end())
    return;
  updateDemand(Entry->second, Now);
  ++Entry->second.Demand;
}

bool lending_limiter::take(const base::account_id &Account,
                           base::time_point Now) {
  auto Entry = States.find(Account);
  if (Entry == States.end())
    return false;
  account_state &State = Entry->second;
  updateDemand(State, Now);
  State.Bucket.refill(Now);
  while (!State.Loans.empty() && State.Loans.front().Tokens < OneToken)
    State.Loans.pop_front();
  if (State.Loans.empty())
    return State.Bucket.take(OneToken);
  State.Loans.front().Tokens -= OneToken;
  return true;
}

bool lending_limiter::hasToken(const base::account_id &Account,
                               base::time_point Now) {
  auto Entry = States.find(Account);
  if (Entry == States.end())
    return false;
  account_state &State = Entry->second;
  updateDemand(State, Now);
  State.Bucket.refill(Now);
  return State.Bucket.level() >= OneToken ||
         std::ranges::any_of(State.Loans, [](const loan &Loan) {
           return Loan.Tokens >= OneToken;
         });
}

base::time_point
lending_limiter::nextTokenAt(const base::account_id &Account) const {
  auto Entry = States.find(Account);
  return Entry == States.end() ? base::time_point::max()
                               : Entry->second.Bucket.levelReachedAt(OneToken);
}

token_transfer lending_limiter::requestFor(const base::account_id &Account,
                                           std::int64_t Waiting) const {
  auto Entry = States.find(Account);
  double Rate = Entry == States.end() ? 0 : Entry->second.DemandRate;
  return {Account, Waiting + static_cast<std::int64_t>(Rate * LoanSeconds)};
}

std::optional<token_transfer>
lending_limiter::lend(const token_transfer &Request, base::time_point Now) {
  auto Entry = States.find(Request.Account);
  if (Entry == States.end())
    return std::nullopt;
  account_state &State = Entry->second;
  updateDemand(State, Now);
  State.Bucket.refill(Now);
  auto Reserve =
      static_cast<std::int64_t>(std::lround(State.DemandRate * ReserveSeconds));
  std::int64_t Own = State.Bucket.level() / OneToken;
  std::int64_t Amount = std::min({Request.Tokens, Own - Reserve, Own});
  if (Amount <= 0 || !State.Bucket.take(Amount * OneToken))
    return std::nullopt;
  return token_transfer{Request.Account, Amount};
}

void lending_limiter::receive(const token_transfer &Grant,
                              base::time_point AskedAt, base::time_point Now) {
  auto Entry = States.find(Grant.Account);
  if (Entry == States.end() || Grant.Tokens <= 0)
    return;
  account_state &State = Entry->second;
  updateDemand(State, Now);
  loan Loan{Grant.Tokens * OneToken, AskedAt + LoanLifetime};
  if (Now > Loan.EndsAt)
    return;
  if (!State.HasStrictLoans)
    for (loan &Earlier : State.Loans)
      Earlier.EndsAt = std::max(Earlier.EndsAt, Loan.EndsAt);
  auto Position =
      std::ranges::upper_bound(State.Loans, Loan.EndsAt, {}, &loan::EndsAt);
  State.Loans.insert(Position, Loan);
}

base::json lending_limiter::dump() const {
  base::json Result = base::json::object();
  for (const auto &[Account, State] : States)
    Result[Account.str()] = {{"tokens", wholeTokens(State)},
                             {"demand_per_second", State.DemandRate}};
  return Result;
}

} // namespace radishrelay::accounts
