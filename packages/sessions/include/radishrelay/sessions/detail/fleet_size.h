#ifndef RADISHRELAY_SESSIONS_DETAIL_FLEET_SIZE_H
#define RADISHRELAY_SESSIONS_DETAIL_FLEET_SIZE_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// The hosts that vote on a promotion in one group, and those that may promote.
struct fleet_size {
  std::size_t Hosts = 1;
  std::size_t Domains = 1;
  /// Addresses of the other hosts that may promote; votes go to them.
  std::vector<std::string> Promoters{};
  /// Whether this host may promote.
  bool IsPromoter = true;
  /// How long this host lets others go first.
  base::duration PromotionDelay{};

  friend bool operator==(const fleet_size &, const fleet_size &) = default;
};

} // namespace radishrelay::sessions::detail

#endif
