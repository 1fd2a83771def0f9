#include "radishrelay/accounts/account_tokens.h"

#include <algorithm>
#include <chrono>

namespace radishrelay::accounts {

namespace {

/// Expected demand of this time is borrowed in advance. It covers a few round
/// trips between failure domains.
constexpr base::duration PrefetchTime = std::chrono::milliseconds(50);
/// Expected demand of this time is not lent but kept for this host.
constexpr base::duration ReserveTime = std::chrono::milliseconds(50);
/// Smaller loans do not justify the cost of a message.
constexpr token_amount MinLoan = OneToken / 100;

void advancePool(lending_pool &Pool, const pool_lease &Lease,
                 base::time_point Now) {
  if (Pool.deadline() <= Now)
    Pool.setShare({}, Now);
  bool Runs = Now < Lease.Deadline;
  Pool.setShare(Runs ? Lease.Share : token_share(), Now);
  Pool.setDeadline(Lease.Deadline);
}

} // namespace

void account_tokens::advance(const pool_lease &FloorLease,
                             const pool_lease &LeasedLease,
                             base::time_point Now) {
  advancePool(Floor, FloorLease, Now);
  advancePool(Leased, LeasedLease, Now);
  LocalDemand.advance(Now);
  DomainDemand.advance(Now);
}

token_amount account_tokens::available(base::time_point Now) const {
  return Borrowed.available(Now) + Floor.available(Now) + Leased.available(Now);
}

std::optional<base::time_point> account_tokens::takeOne(base::time_point Now) {
  if (available(Now) < OneToken)
    return std::nullopt;
  base::time_point ValidUntil = base::time_point::max();
  // Takes borrowed tokens first, as they expire first, then the floor share,
  // which is the cheapest to refill.
  token_amount Needed = OneToken - Borrowed.take(OneToken, Now, ValidUntil);
  for (lending_pool *Pool : {&Floor, &Leased}) {
    token_amount FromPool = std::min(Needed, Pool->available(Now));
    if (FromPool <= 0)
      continue;
    Pool->take(FromPool);
    Needed -= FromPool;
    ValidUntil = std::min(ValidUntil, Pool->deadline());
  }
  return ValidUntil;
}

token_amount account_tokens::reserve() const {
  return LocalDemand.rate() * ReserveTime.count();
}

void account_tokens::lend(token_amount Wanted, bool LendLeased,
                          loan_number Number, base::time_point Now,
                          loan_grant &Grant) {
  token_amount FromLeased = LendLeased ? Leased.available(Now) : 0;
  token_amount FromFloor = Floor.available(Now);
  // The reserve for this host is taken from the floor share first.
  token_amount Kept = std::min(reserve(), FromFloor);
  FromFloor -= Kept;
  FromLeased -= std::min(reserve() - Kept, FromLeased);
  lending_pool &Pool = FromLeased >= FromFloor ? Leased : Floor;
  token_amount Amount = std::min(Wanted, std::max(FromLeased, FromFloor));
  base::duration Validity = Pool.validity(Now);
  if (Amount < std::min(Wanted, MinLoan) || Amount <= 0 ||
      Validity <= base::duration::zero())
    return;
  if (!Pool.lend(Number, Amount, Validity, Now))
    return;
  Grant.Loan = Number;
  Grant.Amount = Amount;
  Grant.Validity = Validity;
}

void account_tokens::settle(loan_number Number, token_amount Spent) {
  Floor.settle(Number, Spent);
  Leased.settle(Number, Spent);
}

bool account_tokens::hasLoans() const {
  return Floor.hasLoans() || Leased.hasLoans();
}

millionths account_tokens::leasedShareOnLoan(std::int64_t Burst) const {
  token_amount PerMillionth = Burst * (OneToken / WholeInMillionths);
  token_amount Lent = Leased.outstanding();
  if (Lent <= 0)
    return 0;
  if (PerMillionth <= 0)
    return WholeInMillionths;
  return (Lent + PerMillionth - 1) / PerMillionth;
}

token_amount account_tokens::shortage(std::int64_t Waiting,
                                      base::time_point Now) const {
  token_amount Prefetch = LocalDemand.rate() * PrefetchTime.count();
  if (Prefetch < OneToken)
    Prefetch = 0;
  token_amount Needed = Waiting * OneToken;
  token_amount Available = available(Now);
  // Borrows only below half of the prefetch target, to avoid many small loans.
  bool Enough = Available >= Needed + Prefetch / 2;
  return Enough ? 0 : Needed + Prefetch - Available;
}

base::json account_tokens::dump() const {
  return {{"floor", Floor.dump()},
          {"leased", Leased.dump()},
          {"borrowed", Borrowed.dump()},
          {"local_demand", LocalDemand.rate()},
          {"domain_demand", DomainDemand.rate()}};
}

} // namespace radishrelay::accounts
