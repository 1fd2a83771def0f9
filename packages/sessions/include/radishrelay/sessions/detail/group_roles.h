#ifndef RADISHRELAY_SESSIONS_DETAIL_GROUP_ROLES_H
#define RADISHRELAY_SESSIONS_DETAIL_GROUP_ROLES_H

#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// Roles of the hosts for one database group. Probers send status calls to the
/// instances to find the primary and vote on promotions; promoters may carry
/// out a promotion.
struct group_roles {
  /// Number of hosts that may vote: the probers of all failure domains.
  std::size_t Voters = 1;
  std::size_t Domains = 1;
  /// Addresses of the other probers of this failure domain, first prober first.
  std::vector<std::string> Probers{};
  /// Whether this host sends status calls to the instances.
  bool IsProber = false;
  /// Whether this host is the first prober of its failure domain. The other
  /// probers ask it for proofs instead of probing.
  bool IsFirstProber = false;
  /// Addresses of the other promoters; votes are sent to them.
  std::vector<std::string> Promoters{};
  bool IsPromoter = false;
  /// Delay before this host starts a promotion, so that promoters with a higher
  /// rank start first.
  base::duration PromotionDelay{};

  friend bool operator==(const group_roles &, const group_roles &) = default;
};

} // namespace radishrelay::sessions::detail

#endif
