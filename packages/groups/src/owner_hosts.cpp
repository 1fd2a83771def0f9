#include "radishrelay/groups/owner_hosts.h"

#include "radishrelay/base/rendezvous.h"
#include "radishrelay/groups/connection_quota.h"

#include <algorithm>
#include <string>
#include <utility>

namespace radishrelay::groups {

owner_hosts::owner_hosts(owner_hosts_options Options,
                         std::vector<slot_number> DomainSlots)
    : Options(Options), DomainSlots(std::move(DomainSlots)) {}

void owner_hosts::setGroups(const std::vector<base::group_id> &Groups) {
  std::vector<std::string> Names;
  Names.reserve(DomainSlots.size());
  for (slot_number Slot : DomainSlots)
    Names.push_back(std::to_string(Slot));
  Slots.clear();
  for (const base::group_id &Group : Groups) {
    std::vector<std::string> Order = base::rendezvousOrder(Group.str(), Names);
    Order.resize(std::min(Order.size(), Options.Owners + Options.Spares));
    std::vector<slot_number> &Chosen = Slots[Group];
    for (const std::string &Name : Order)
      Chosen.push_back(static_cast<slot_number>(std::stoul(Name)));
  }
}

bool owner_hosts::isEnabled() const {
  return Slots.size() >= Options.MinDatabases &&
         DomainSlots.size() > Options.Owners + Options.Spares;
}

const std::vector<slot_number> &
owner_hosts::slotsOf(const base::group_id &Group) const {
  static const std::vector<slot_number> None;
  auto Entry = Slots.find(Group);
  return Entry == Slots.end() ? None : Entry->second;
}

std::optional<slot_number>
owner_hosts::route(const base::group_id &Group, std::uint64_t SelectionHash,
                   const std::set<slot_number> &Live) const {
  std::vector<slot_number> Usable;
  for (slot_number Slot : slotsOf(Group))
    if (Live.contains(Slot) && Usable.size() < Options.Owners)
      Usable.push_back(Slot);
  if (Usable.empty())
    return std::nullopt;
  return Usable[SelectionHash % Usable.size()];
}

std::uint32_t owner_hosts::quota(const base::group_id &Group, slot_number Slot,
                                 std::uint32_t Limit,
                                 std::uint32_t Reserve) const {
  const std::vector<slot_number> &Chosen = slotsOf(Group);
  if (std::find(Chosen.begin(), Chosen.end(), Slot) == Chosen.end())
    return 0;
  std::size_t AllowedSlotCount =
      (Options.Owners + Options.Spares) * Options.DomainCount;
  return connectionQuota(Limit, Reserve,
                         static_cast<std::uint32_t>(AllowedSlotCount));
}

base::json owner_hosts::dump() const {
  base::json Dump = base::json::object();
  Dump["enabled"] = isEnabled();
  Dump["databases"] = Slots.size();
  Dump["domain_slots"] = DomainSlots.size();
  Dump["owners"] = Options.Owners;
  Dump["spares"] = Options.Spares;
  return Dump;
}

} // namespace radishrelay::groups
