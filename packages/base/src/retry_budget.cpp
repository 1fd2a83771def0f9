#include "radishrelay/base/retry_budget.h"

#include <algorithm>

namespace radishrelay::base {

time_point retry_budget::availableAt() const {
  return FullAt - Interval * (std::int64_t{Burst} - 1);
}

bool retry_budget::tryTake(time_point Now) {
  if (Burst == 0 || Now < availableAt())
    return false;
  FullAt = std::max(FullAt, Now) + Interval;
  return true;
}

json retry_budget::dump() const {
  return {{"burst", Burst}, {"available_at_us", toMicroseconds(availableAt())}};
}

} // namespace radishrelay::base
