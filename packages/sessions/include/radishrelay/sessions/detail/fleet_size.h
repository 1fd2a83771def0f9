#ifndef RADISHRELAY_SESSIONS_DETAIL_FLEET_SIZE_H
#define RADISHRELAY_SESSIONS_DETAIL_FLEET_SIZE_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>

namespace radishrelay::sessions::detail {

/// The hosts that may vote on a promotion.
struct fleet_size {
  std::size_t Hosts = 1;
  std::size_t Domains = 1;
  /// How long this host lets others go first.
  base::duration PromotionDelay{};

  friend bool operator==(const fleet_size &, const fleet_size &) = default;
};

} // namespace radishrelay::sessions::detail

#endif
