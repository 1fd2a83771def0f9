#ifndef RADISHRELAY_ACCOUNTS_ACCOUNT_TOKENS_H
#define RADISHRELAY_ACCOUNTS_ACCOUNT_TOKENS_H

#include "radishrelay/accounts/borrowed_tokens.h"
#include "radishrelay/accounts/demand_meter.h"
#include "radishrelay/accounts/lending_pool.h"
#include "radishrelay/base/json.h"

#include <optional>

namespace radishrelay::accounts {

/// The share of a limit that a pool may use until a deadline.
struct pool_lease {
  token_share Share;
  base::time_point Deadline;

  friend auto operator<=>(const pool_lease &, const pool_lease &) = default;
};

/// All tokens of one account on one host: the floor share, the leased share
/// if the host owns the account in its failure domain, and borrowed tokens.
///
/// The floor share comes with the host's slot and does not depend on demand.
/// The leased share belongs to a failure domain, follows its demand, and is
/// renewed in the store every second.
class account_tokens {
public:
  /// Refills both pools up to \p Now under their current leases. A pool whose
  /// lease has ended loses its tokens, even if a new lease follows.
  void advance(const pool_lease &Floor, const pool_lease &Leased,
               base::time_point Now);

  /// Takes one token. Returns the earliest deadline of the pools and loans it
  /// was taken from, or nothing if less than one token is available.
  std::optional<base::time_point> takeOne(base::time_point Now);

  /// Tokens available to requests on this host.
  [[nodiscard]] token_amount available(base::time_point Now) const;

  /// Lends up to \p Wanted from one of the pools and stores number, amount and
  /// validity in \p Grant. Keeps a reserve for requests on this host. Lends
  /// from the leased share only if \p LendLeased; the caller clears it when
  /// another host is to be the owner.
  void lend(token_amount Wanted, bool LendLeased, loan_number Number,
            base::time_point Now, loan_grant &Grant);

  /// Ends loan \p Number to another host, which spent \p Spent of it.
  void settle(loan_number Number, token_amount Spent);

  /// True while any loan to another host is outstanding.
  [[nodiscard]] bool hasLoans() const;

  /// Share of \p Burst (tokens) that is on loan from the leased pool, rounded
  /// up.
  [[nodiscard]] millionths leasedShareOnLoan(std::int64_t Burst) const;

  /// Amount to borrow to run \p Waiting requests and to cover the expected
  /// demand of the next PrefetchTime; 0 if enough tokens are available.
  [[nodiscard]] token_amount shortage(std::int64_t Waiting,
                                      base::time_point Now) const;

  borrowed_tokens Borrowed;
  /// Tokens requested on this host.
  demand_meter LocalDemand{std::chrono::milliseconds(100), 8};
  /// Tokens that the failure domain requests from this host as the owner.
  demand_meter DomainDemand{std::chrono::seconds(1), 2};

  [[nodiscard]] base::json dump() const;

private:
  [[nodiscard]] token_amount reserve() const;

  lending_pool Floor;
  lending_pool Leased;
};

} // namespace radishrelay::accounts

#endif
