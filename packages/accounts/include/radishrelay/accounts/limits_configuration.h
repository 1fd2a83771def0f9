#ifndef RADISHRELAY_ACCOUNTS_LIMITS_CONFIGURATION_H
#define RADISHRELAY_ACCOUNTS_LIMITS_CONFIGURATION_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/accounts/token_amount.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace radishrelay::accounts {

/// The rate limits and their distribution, from the configuration document.
struct limits_configuration {
  std::uint64_t Version = 0;
  /// Number of host slots; at least the number of hosts.
  std::int64_t SlotCount = 1;
  /// Share of every limit that all host slots together entitle to.
  millionths FloorFraction = 0;
  std::vector<account_limits> Accounts;

  friend auto operator<=>(const limits_configuration &,
                          const limits_configuration &) = default;
};

} // namespace radishrelay::accounts

#endif
