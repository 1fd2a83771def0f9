#include "radishrelay/base/backoff.h"

#include <algorithm>

namespace radishrelay::base {

duration backoff::bound() const {
  constexpr std::uint32_t MaxShift = 20; // avoids overflow of the product
  std::uint32_t Shift = std::min(Attempts, MaxShift);
  return std::min(MaxWait, InitialWait * (std::int64_t{1} << Shift));
}

time_point backoff::next(time_point Now, random_generator &Random) {
  auto Range = static_cast<std::uint64_t>(bound().count());
  ++Attempts;
  return Now + duration(static_cast<std::int64_t>(Random.below(Range + 1)));
}

json backoff::dump() const {
  return {{"attempts", Attempts}, {"bound_us", bound().count()}};
}

} // namespace radishrelay::base
