#ifndef RADISHRELAY_GROUPS_HEDGE_BUDGET_H
#define RADISHRELAY_GROUPS_HEDGE_BUDGET_H

#include "radishrelay/base/json.h"

#include <cstdint>

namespace radishrelay::groups {

/// Limits hedged reads, the second copies of slow idempotent reads, to a share
/// of all reads.
///
/// Without a limit, hedging would double the load when instances are slow.
class hedge_budget {
public:
  /// Allows \p PartsPerMillion of the reads to be hedged on average, and at
  /// most \p Burst reads in a row.
  explicit hedge_budget(std::uint64_t PartsPerMillion = 50'000,
                        std::uint64_t Burst = 10);

  /// Adds the credit of one read to the budget.
  void recordRead();

  /// Takes the cost of one hedged read from the budget. Returns false when the
  /// budget does not cover it.
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
