#ifndef RADISHRELAY_GROUPS_TRANSACTION_ID_H
#define RADISHRELAY_GROUPS_TRANSACTION_ID_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <cstdint>

namespace radishrelay::groups {

/// Identifies a transaction among all hosts.
struct transaction_id {
  /// The host that holds the backend connection.
  base::host_id Host;
  /// Differs for each start of the process on that host.
  std::uint64_t Incarnation = 0;
  std::uint64_t Number = 0;

  friend auto operator<=>(const transaction_id &,
                          const transaction_id &) = default;
};

} // namespace radishrelay::groups

#endif
