#ifndef RADISHRELAY_ACCOUNTS_SHARE_REQUEST_H
#define RADISHRELAY_ACCOUNTS_SHARE_REQUEST_H

#include "radishrelay/accounts/token_amount.h"
#include "radishrelay/base/identifier.h"

#include <compare>

namespace radishrelay::accounts {

/// Input of leased_shares for one account: whether this host is to lease the
/// share of its failure domain, and how much it needs.
struct share_request {
  base::account_id Account;
  /// True to lease the share; false to hand it over to the next owner.
  bool Owner = false;
  /// Demand of the failure domain in tokens per second.
  std::int64_t Demand = 0;
  /// Share of the burst that is on loan, rounded up. The published share cannot
  /// be lower than this.
  millionths Lent = 0;

  friend auto operator<=>(const share_request &,
                          const share_request &) = default;
};

} // namespace radishrelay::accounts

#endif
