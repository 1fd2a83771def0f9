#ifndef RADISHRELAY_GROUPS_OWNER_HOSTS_H
#define RADISHRELAY_GROUPS_OWNER_HOSTS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/groups/owner_hosts_options.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishrelay::groups {

/// Number of a host slot. A host holds one slot, and at most one host holds a
/// slot at a time.
using slot_number = std::uint32_t;

/// Chooses for each database group the hosts of a failure domain that connect
/// to it: owners, and spares that replace owners that are not live.
///
/// The choice depends only on the host slots of the domain, which the
/// configuration defines, and not on the hosts that are believed to be live.
/// Two hosts with different member lists may route a request to different
/// slots, but they agree on the slots that may connect. As at most one host
/// holds a slot, the sum of the connections stays within the instance's limit.
class owner_hosts {
public:
  /// \p DomainSlots are the host slots of this host's failure domain.
  owner_hosts(owner_hosts_options Options,
              std::vector<slot_number> DomainSlots);

  /// Computes the owners and spares of \p Groups, which are all database groups
  /// of the configuration.
  void setGroups(const std::vector<base::group_id> &Groups);

  /// Returns false while there are too few database groups or host slots for
  /// owners to be worth their cost; every host then serves every group.
  [[nodiscard]] bool isEnabled() const;

  /// Returns the slots that may connect to \p Group in order of preference:
  /// owners, then spares. Empty for an unknown group.
  [[nodiscard]] const std::vector<slot_number> &
  slotsOf(const base::group_id &Group) const;

  /// Slot to send a request to; \p SelectionHash, for example a hash of the
  /// session, divides the requests among the live owners. Empty when none of
  /// the slots is live.
  [[nodiscard]] std::optional<slot_number>
  route(const base::group_id &Group, std::uint64_t SelectionHash,
        const std::set<slot_number> &Live) const;

  /// Returns the number of connections that the host in \p Slot may open to an
  /// instance of \p Group. \p Limit and \p Reserve are as in connectionQuota().
  /// Spares have the same quota as owners, since a host may consider a live
  /// owner dead and use a spare in its place.
  [[nodiscard]] std::uint32_t quota(const base::group_id &Group,
                                    slot_number Slot, std::uint32_t Limit,
                                    std::uint32_t Reserve) const;

  [[nodiscard]] base::json dump() const;

private:
  owner_hosts_options Options;
  std::vector<slot_number> DomainSlots;
  std::map<base::group_id, std::vector<slot_number>> Slots;
};

} // namespace radishrelay::groups

#endif
