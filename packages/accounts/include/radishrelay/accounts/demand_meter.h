#ifndef RADISHRELAY_ACCOUNTS_DEMAND_METER_H
#define RADISHRELAY_ACCOUNTS_DEMAND_METER_H

#include "radishrelay/accounts/token_amount.h"
#include "radishrelay/base/monotonic_clock.h"

#include <algorithm>
#include <cstdint>

namespace radishrelay::accounts {

/// Exponentially smoothed rate of requested tokens. It only controls
/// prefetching and the split of shares; no limit depends on it.
class demand_meter {
public:
  /// \p Period is the length of a sample; the newest sample has the weight
  /// 1 / \p InverseWeight.
  demand_meter(base::duration Period, std::int64_t InverseWeight)
      : Period(Period), InverseWeight(InverseWeight) {}

  void add(token_amount Amount) { Sum += Amount; }

  /// Ends the current sample if its period has passed.
  void advance(base::time_point Now) {
    if (Now < StartedAt + Period)
      return;
    std::int64_t Elapsed = std::max<std::int64_t>(1, (Now - StartedAt).count());
    token_amount Sample = Sum / Elapsed;
    bool First = StartedAt == base::time_point();
    Rate = First ? 0 : Rate + (Sample - Rate) / InverseWeight;
    Sum = 0;
    StartedAt = Now;
  }

  /// Demand in units of token_amount per microsecond.
  [[nodiscard]] token_amount rate() const { return Rate; }

private:
  base::duration Period;
  std::int64_t InverseWeight;
  base::time_point StartedAt;
  token_amount Sum = 0;
  token_amount Rate = 0;
};

} // namespace radishrelay::accounts

#endif
