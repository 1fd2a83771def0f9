#ifndef RADISHRELAY_FLEET_CLIENT_ACCOUNT_H
#define RADISHRELAY_FLEET_CLIENT_ACCOUNT_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/fleet/account_key.h"

#include <cstdint>
#include <vector>

namespace radishrelay::fleet {

/// A client account with its request limit, which applies across all hosts.
struct client_account {
  base::account_id Id;
  /// Requests per second; with 0 only the burst is admitted.
  std::int64_t RatePerSecond = 0;
  /// Number of requests that may be admitted at once, at least 1.
  std::int64_t Burst = 1;
  std::vector<account_key> Keys;

  friend auto operator<=>(const client_account &,
                          const client_account &) = default;
};

} // namespace radishrelay::fleet

#endif
