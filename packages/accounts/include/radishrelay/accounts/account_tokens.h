#ifndef RADISHRELAY_ACCOUNTS_ACCOUNT_TOKENS_H
#define RADISHRELAY_ACCOUNTS_ACCOUNT_TOKENS_H

#include "radishrelay/accounts/borrowed_tokens.h"
#include "radishrelay/accounts/demand_meter.h"
#include "radishrelay/accounts/lending_pool.h"
#include "radishrelay/base/json.h"

#include <optional>

namespace radishrelay::accounts {

/// The part of a limit that a pool has, and until when.
struct pool_lease {
  token_share Share;
  base::time_point Deadline;

  friend auto operator<=>(const pool_lease &, const pool_lease &) = default;
};

/// All tokens of one account on one host: the floor share, the leased share
/// where the host is the owner, and what was borrowed.
class account_tokens {
public:
  /// Brings both pools up to \p Now under the leases in force. A pool whose
  /// lease had ended loses its tokens, also when a new lease follows.
  void advance(const pool_lease &Floor, const pool_lease &Leased,
               base::time_point Now);

  /// Takes one token. Returns the earliest deadline of what was used, or
  /// nothing when there is less than a token.
  std::optional<base::time_point> takeOne(base::time_point Now);

  /// Tokens at hand for requests of this host.
  [[nodiscard]] token_amount available(base::time_point Now) const;

  /// Lends up to \p Wanted from one of the pools; \p Grant receives the
  /// amount and validity. Keeps what this host is about to use itself. The
  /// leased share is lent only if \p LendLeased, not during a hand-over.
  void lend(token_amount Wanted, bool LendLeased, loan_number Number,
            base::time_point Now, loan_grant &Grant);

  /// Ends a loan to another host.
  void settle(loan_number Number, token_amount Spent);

  /// True while anything is lent to other hosts.
  [[nodiscard]] bool hasLoans() const;

  /// Part of \p Burst (tokens) that the leased pool has out on loan, rounded
  /// up.
  [[nodiscard]] millionths leasedShareOnLoan(std::int64_t Burst) const;

  /// Amount to borrow so that \p Waiting requests can run and the demand of
  /// the next PrefetchTime is at hand; 0 when there is enough.
  [[nodiscard]] token_amount shortage(std::int64_t Waiting,
                                      base::time_point Now) const;

  borrowed_tokens Borrowed;
  /// What requests of this host ask for.
  demand_meter LocalDemand{std::chrono::milliseconds(100), 8};
  /// What the failure domain asks this host for, as the owner.
  demand_meter DomainDemand{std::chrono::seconds(1), 2};

  [[nodiscard]] base::json dump() const;

private:
  [[nodiscard]] token_amount reserve() const;

  lending_pool Floor;
  lending_pool Leased;
};

} // namespace radishrelay::accounts

#endif
