#ifndef RADISHRELAY_ACCOUNTS_SHARE_REQUEST_H
#define RADISHRELAY_ACCOUNTS_SHARE_REQUEST_H

#include "radishrelay/accounts/token_amount.h"
#include "radishrelay/base/identifier.h"

#include <compare>

namespace radishrelay::accounts {

/// What a host wants for one account in its failure domain.
struct share_request {
  base::account_id Account;
  /// True when this host is to be the owner; false to hand over.
  bool Owner = false;
  /// Tokens per second that the domain asks for.
  std::int64_t Demand = 0;
  /// Part of the burst that is out on loan, rounded up: the share cannot be
  /// published lower than this.
  millionths Lent = 0;

  friend auto operator<=>(const share_request &,
                          const share_request &) = default;
};

} // namespace radishrelay::accounts

#endif
