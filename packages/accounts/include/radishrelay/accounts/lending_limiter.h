#ifndef RADISHRELAY_ACCOUNTS_LENDING_LIMITER_H
#define RADISHRELAY_ACCOUNTS_LENDING_LIMITER_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/accounts/token_bucket.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"

#include <map>
#include <optional>

namespace radishrelay::accounts {

/// Tokens of one account that a host asks another for, or gives it.
struct token_transfer {
  base::account_id Account;
  /// Whole tokens.
  std::int64_t Tokens = 0;

  friend bool operator==(const token_transfer &,
                         const token_transfer &) = default;
};

/// The limits of one account and this host's share of them.
struct account_share {
  account_limits Limits;
  /// 0 while this host holds none.
  millionths Share = 0;

  friend bool operator==(const account_share &,
                         const account_share &) = default;
};

/// One host's part of the limits of all accounts, where some hosts hold equal
/// shares and lend what they do not need.
///
/// A transfer takes tokens from the lender's bucket before it is sent, and a
/// lost message loses them, so the hosts together never admit more than rate
/// and burst as long as their shares sum to the whole.
class lending_limiter {
public:
  /// Replaces limits and shares.
  void configure(const std::map<base::account_id, account_share> &Shares,
                 base::time_point Now);

  /// An operation of \p Account has arrived, whether or not it is admitted.
  void recordDemand(const base::account_id &Account, base::time_point Now);
  /// Takes a token if there is one.
  bool take(const base::account_id &Account, base::time_point Now);
  /// When the own share alone yields a token.
  [[nodiscard]] base::time_point
  nextTokenAt(const base::account_id &Account) const;

  /// What to ask another host for when \p Waiting operations have no token:
  /// a token for each, and some for those that will follow at the present rate.
  [[nodiscard]] token_transfer requestFor(const base::account_id &Account,
                                          std::int64_t Waiting) const;
  /// Takes tokens out of the bucket for another host; empty when none can be
  /// spared.
  std::optional<token_transfer> lend(const token_transfer &Request,
                                     base::time_point Now);
  void receive(const token_transfer &Grant, base::time_point Now);

  [[nodiscard]] base::json dump() const;

private:
  struct account_state {
    token_bucket Bucket;
    /// Tokens received from other hosts; not capped by the own burst.
    token_amount Borrowed = 0;
    /// Borrowed tokens lapse, so that stored tokens stay within the burst.
    base::time_point BorrowedUntil;
    /// Operations, admitted or not, since IntervalStartedAt.
    std::int64_t Demand = 0;
    base::time_point IntervalStartedAt;
    /// Operations a second in the last full interval.
    double DemandRate = 0;
  };

  static void updateDemand(account_state &State, base::time_point Now);
  static std::int64_t wholeTokens(const account_state &State);

  std::map<base::account_id, account_state> States;
};

} // namespace radishrelay::accounts

#endif
