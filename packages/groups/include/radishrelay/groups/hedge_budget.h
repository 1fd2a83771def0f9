#ifndef RADISHRELAY_GROUPS_HEDGE_BUDGET_H
#define RADISHRELAY_GROUPS_HEDGE_BUDGET_H

#include "radishrelay/base/json.h"

#include <cstdint>

namespace radishrelay::groups {

/// Bounds the second copies of idempotent reads to a part of all reads.
///
/// Without a bound, hedging doubles the load exactly when instances are slow.
class hedge_budget {
public:
  /// \p PartsPerMillion of the reads may be hedged, with \p Burst copies at
  /// once.
  explicit hedge_budget(std::uint64_t PartsPerMillion = 50'000,
                        std::uint64_t Burst = 10);

  /// Credits one read.
  void recordRead();

  /// Takes one copy from the budget; returns false when there is none left.
  bool tryTake();

  [[nodiscard]] base::json dump() const;

private:
  std::uint64_t PartsPerMillion;
  std::uint64_t CapacityMillionths;
  std::uint64_t CreditMillionths = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Hedges = 0;
};

} // namespace radishrelay::groups

#endif
