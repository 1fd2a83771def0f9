#ifndef RADISHRELAY_GROUPS_TRANSACTION_LIMITS_H
#define RADISHRELAY_GROUPS_TRANSACTION_LIMITS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::groups {

/// Settings of a transaction table.
struct transaction_limits {
  /// Maximum number of open transactions, each of which holds a connection.
  std::size_t MaxOpen = 64;
  /// Time for which the outcome of an ended transaction is kept, to answer
  /// repeated requests.
  base::duration OutcomeRetention = std::chrono::seconds(60);
  /// Maximum number of kept outcomes; the oldest are discarded first.
  std::size_t MaxOutcomes = 10000;

  friend bool operator==(const transaction_limits &,
                         const transaction_limits &) = default;
};

} // namespace radishrelay::groups

#endif
