#ifndef RADISHRELAY_ACCOUNTS_LIMITER_OPTIONS_H
#define RADISHRELAY_ACCOUNTS_LIMITER_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <compare>
#include <cstddef>

namespace radishrelay::accounts {

/// The hosts that a host borrows tokens from.
enum class loan_scope {
  /// Only the owner in its failure domain.
  Owner,
  /// The owner, then the other hosts of its failure domain.
  FailureDomain,
  /// Also the owners and the hosts of the other failure domains.
  Fleet,
};

/// Options of account_limiter.
struct limiter_options {
  loan_scope Scope = loan_scope::Fleet;
  /// Maximum time that a request waits for borrowed tokens.
  base::duration MaxWait = std::chrono::milliseconds(100);
  /// Maximum number of waiting requests of an account on one host.
  std::size_t MaxWaitingRequests = 1024;

  friend auto operator<=>(const limiter_options &,
                          const limiter_options &) = default;
};

} // namespace radishrelay::accounts

#endif
