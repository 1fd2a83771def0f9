#ifndef RADISHRELAY_FLEET_CLIENT_ACCOUNT_H
#define RADISHRELAY_FLEET_CLIENT_ACCOUNT_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/fleet/account_key.h"

#include <cstdint>
#include <vector>

namespace radishrelay::fleet {

/// A client account with its limit across the whole fleet.
struct client_account {
  base::account_id Id;
  /// Requests a second; 0 admits the burst only.
  std::int64_t RatePerSecond = 0;
  /// Requests admitted at once, at least 1.
  std::int64_t Burst = 1;
  std::vector<account_key> Keys;

  friend auto operator<=>(const client_account &,
                          const client_account &) = default;
};

} // namespace radishrelay::fleet

#endif
