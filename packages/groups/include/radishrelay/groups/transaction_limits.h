#ifndef RADISHRELAY_GROUPS_TRANSACTION_LIMITS_H
#define RADISHRELAY_GROUPS_TRANSACTION_LIMITS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::groups {

/// Settings of a transaction table.
struct transaction_limits {
  /// Open transactions, each of which holds a connection.
  std::size_t MaxOpen = 64;
  /// How long the outcome of an ended transaction is kept for repeated
  /// requests.
  base::duration OutcomeRetention = std::chrono::seconds(60);
  /// Kept outcomes; the oldest are forgotten first.
  std::size_t MaxOutcomes = 10000;

  friend bool operator==(const transaction_limits &,
                         const transaction_limits &) = default;
};

} // namespace radishrelay::groups

#endif
