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

/// Number of a host slot; at most one host holds it at a time.
using slot_number = std::uint32_t;

/// Chooses for each database the hosts of a failure domain that connect to it.
///
/// The choice is made over the domain's host slots, which the configuration
/// fixes, and not over the hosts that are thought to be live. Two hosts with
/// different member lists may thus send a request to different slots, but agree
/// on the slots that may connect: the sum of the connections stays within the
/// limit, as a slot has one holder.
class owner_hosts {
public:
  /// \p DomainSlots of this host's failure domain.
  owner_hosts(owner_hosts_options Options,
              std::vector<slot_number> DomainSlots);

  /// Computes the owners of \p Groups, all databases of the configuration.
  void setGroups(const std::vector<base::group_id> &Groups);

  /// False while there are too few databases or slots for owners to pay.
  [[nodiscard]] bool isEnabled() const;

  /// Slots that may connect to the database in order of preference: owners,
  /// then spares. Empty for an unknown one.
  [[nodiscard]] const std::vector<slot_number> &
  slotsOf(const base::group_id &Group) const;

  /// Slot to send a request to; \p Spread, for example a hash of the session,
  /// divides the requests among the live owners. Empty when none of the slots
  /// is live.
  [[nodiscard]] std::optional<slot_number>
  route(const base::group_id &Group, std::uint64_t Spread,
        const std::set<slot_number> &Live) const;

  /// Connections that the holder of \p Slot may open to an instance of the
  /// database. Spares have the same quota as owners, since any host may take
  /// an owner for dead.
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
