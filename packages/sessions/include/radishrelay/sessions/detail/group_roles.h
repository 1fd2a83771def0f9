#ifndef RADISHRELAY_SESSIONS_DETAIL_GROUP_ROLES_H
#define RADISHRELAY_SESSIONS_DETAIL_GROUP_ROLES_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// The parts of hosts in the care for one database group: who asks the
/// instances for the primary and votes on a promotion, and who may promote.
struct group_roles {
  /// Hosts that vote: the probers of all failure domains.
  std::size_t Voters = 1;
  std::size_t Domains = 1;
  /// Addresses of the other probers of this failure domain; the first is asked
  /// first.
  std::vector<std::string> Probers{};
  /// Whether this host asks the instances.
  bool IsProber = false;
  /// Whether the other probers of the failure domain rely on this one.
  bool IsFirstProber = false;
  /// Addresses of the other hosts that may promote; votes go to them.
  std::vector<std::string> Promoters{};
  /// Whether this host may promote.
  bool IsPromoter = false;
  /// How long this host lets others go first.
  base::duration PromotionDelay{};

  friend bool operator==(const group_roles &, const group_roles &) = default;
};

} // namespace radishrelay::sessions::detail

#endif
