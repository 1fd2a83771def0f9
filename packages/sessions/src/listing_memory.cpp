#include "radishrelay/sessions/listing_memory.h"

namespace radishrelay::sessions {

namespace {

/// Two seconds for the entries to come back, and the delay of a report.
constexpr base::duration ReturnTime = std::chrono::milliseconds(2500);

} // namespace

std::vector<instance_listing>
listing_memory::merge(std::vector<instance_listing> List,
                      base::time_point Now) {
  if (IsAway)
    KeepUntil = Now + ReturnTime;
  IsAway = false;
  std::map<base::instance_id, instance_listing> Current;
  for (instance_listing &Listing : List)
    Current.emplace(Listing.Instance, std::move(Listing));
  Kept.clear();
  if (Now < KeepUntil)
    for (const auto &[Instance, Listing] : Known)
      if (Current.emplace(Instance, Listing).second)
        Kept.insert(Instance);
  Known = std::move(Current);
  return known();
}

std::optional<std::vector<instance_listing>>
listing_memory::settle(base::time_point Now) {
  if (Kept.empty() || Now < KeepUntil)
    return std::nullopt;
  for (const base::instance_id &Instance : Kept)
    Known.erase(Instance);
  Kept.clear();
  return known();
}

std::vector<instance_listing> listing_memory::known() const {
  std::vector<instance_listing> Result;
  for (const auto &[Instance, Listing] : Known)
    Result.push_back(Listing);
  return Result;
}

} // namespace radishrelay::sessions
