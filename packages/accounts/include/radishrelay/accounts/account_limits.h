#ifndef RADISHRELAY_ACCOUNTS_ACCOUNT_LIMITS_H
#define RADISHRELAY_ACCOUNTS_ACCOUNT_LIMITS_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <cstdint>

namespace radishrelay::accounts {

/// Rate and burst of a client account, summed over the whole fleet.
struct account_limits {
  base::account_id Account;
  /// Tokens per second, 0 to MaxLimit.
  std::int64_t RatePerSecond = 0;
  /// Tokens, 0 to MaxLimit.
  std::int64_t Burst = 0;

  friend auto operator<=>(const account_limits &,
                          const account_limits &) = default;
};

} // namespace radishrelay::accounts

#endif
