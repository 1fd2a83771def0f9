#include "radishrelay/groups/session_positions.h"

#include <algorithm>

namespace radishrelay::groups {

void session_positions::merge(const base::group_id &Group,
                              const log_position &Position) {
  auto IsSame = [&](const group_position &Entry) {
    return Entry.Group == Group;
  };
  auto Known = std::find_if(Positions.begin(), Positions.end(), IsSame);
  if (Known == Positions.end()) {
    Positions.insert(Positions.begin(), {Group, Position});
    if (Positions.size() > MaxSessionGroups)
      evictOldest();
    return;
  }
  if (Position <= Known->Position)
    return;
  Known->Position = Position;
  std::rotate(Positions.begin(), Known, Known + 1);
}

void session_positions::merge(const session_positions &Other) {
  Overflowed = Overflowed || Other.Overflowed;
  for (auto Entry = Other.Positions.rbegin(); Entry != Other.Positions.rend();
       ++Entry)
    merge(Entry->Group, Entry->Position);
}

void session_positions::evictOldest() {
  Positions.pop_back();
  Overflowed = true;
}

position_requirement
session_positions::requirementFor(const base::group_id &Group) const {
  for (const group_position &Entry : Positions)
    if (Entry.Group == Group)
      return {Entry.Position, false};
  return {{}, Overflowed};
}

base::json session_positions::dump() const {
  base::json Dump = base::json::object();
  Dump["account"] = Account.str();
  Dump["issued_at_ms"] = IssuedAtMs;
  Dump["overflowed"] = Overflowed;
  Dump["positions"] = base::json::array();
  for (const group_position &Entry : Positions)
    Dump["positions"].push_back({{"group", Entry.Group.str()},
                                 {"term", Entry.Position.Term},
                                 {"position", Entry.Position.Offset}});
  return Dump;
}

} // namespace radishrelay::groups
