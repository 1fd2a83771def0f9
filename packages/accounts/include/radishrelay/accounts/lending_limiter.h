#ifndef RADISHRELAY_ACCOUNTS_LENDING_LIMITER_H
#define RADISHRELAY_ACCOUNTS_LENDING_LIMITER_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/accounts/token_bucket.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"

#include <deque>
#include <map>
#include <optional>

namespace radishrelay::accounts {

/// Tokens of one account that a host requests from another host or lends it.
struct token_transfer {
  base::account_id Account;
  /// Whole tokens.
  std::int64_t Tokens = 0;

  friend bool operator==(const token_transfer &,
                         const token_transfer &) = default;
};

/// The limits of an account and this host's share of them.
struct account_share {
  account_limits Limits;
  /// 0 if this host has no share.
  millionths Share = 0;
  /// Whether each loan ends by its own request. Otherwise a further loan
  /// prolongs those before it, so that fewer tokens expire unused, and the
  /// limit holds over some seconds instead of in each one.
  bool HasStrictLoans = false;

  friend bool operator==(const account_share &,
                         const account_share &) = default;
};

/// One host's share of the limits of all accounts. The owner hosts of a limit
/// have equal shares and lend the tokens they do not need.
///
/// Tokens leave the lender's bucket before the transfer is sent, and are lost
/// with the message. So all hosts together never admit more than rate and
/// burst as long as their shares sum to at most the whole.
class lending_limiter {
public:
  /// Time from the request for a loan to its end: twice the time in which a
  /// loan is expected to be spent. Unused loans must not accumulate beyond the
  /// burst.
  static constexpr base::duration LoanLifetime =
      std::chrono::milliseconds(1000);

  /// Replaces limits and shares.
  void configure(const std::map<base::account_id, account_share> &Shares,
                 base::time_point Now);

  /// Counts an operation of \p Account, whether or not it is admitted.
  void recordDemand(const base::account_id &Account, base::time_point Now);
  /// Whether take would succeed.
  [[nodiscard]] bool hasToken(const base::account_id &Account,
                              base::time_point Now);
  /// Takes one token. Returns false if none is available.
  bool take(const base::account_id &Account, base::time_point Now);
  /// When this host's share alone will yield a token; time_point::max() if it
  /// never will.
  [[nodiscard]] base::time_point
  nextTokenAt(const base::account_id &Account) const;

  /// Tokens to request from another host when \p Waiting operations have none:
  /// one for each, and those expected to follow at the current demand.
  [[nodiscard]] token_transfer requestFor(const base::account_id &Account,
                                          std::int64_t Waiting) const;
  /// Takes tokens out of the bucket for another host. Returns nothing if this
  /// host needs all its tokens itself.
  std::optional<token_transfer> lend(const token_transfer &Request,
                                     base::time_point Now);
  /// Adds the tokens that another host has lent on a request that was sent at
  /// \p AskedAt. A grant that comes too late adds nothing.
  void receive(const token_transfer &Grant, base::time_point AskedAt,
               base::time_point Now);

  [[nodiscard]] base::json dump() const;

private:
  struct loan {
    token_amount Tokens = 0;
    base::time_point EndsAt;
  };

  struct account_state {
    token_bucket Bucket;
    /// Tokens received from other hosts, in the order of their ends. Not
    /// limited by this host's burst.
    std::deque<loan> Loans;
    bool HasStrictLoans = false;
    /// Operations, admitted or not, since IntervalStartedAt.
    std::int64_t Demand = 0;
    base::time_point IntervalStartedAt;
    /// Operations per second in the last full interval.
    double DemandRate = 0;
  };

  static void updateDemand(account_state &State, base::time_point Now);
  /// Lowers the borrowed tokens to \p Limit.
  static void limitLoans(account_state &State, token_amount Limit);
  static std::int64_t wholeTokens(const account_state &State);

  std::map<base::account_id, account_state> States;
};

} // namespace radishrelay::accounts

#endif
