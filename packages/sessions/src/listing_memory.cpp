#include "radishrelay/sessions/listing_memory.h"

namespace radishrelay::sessions {

namespace {

/// Two seconds for the entries to come back, and one interval of reading.
constexpr base::duration ReturnTime = std::chrono::milliseconds(2500);

} // namespace

void listing_memory::noteFailure(base::time_point) { IsAway = true; }

std::vector<instance_listing>
listing_memory::merge(std::vector<instance_listing> List,
                      base::time_point Now) {
  if (IsAway)
    KeepUntil = Now + ReturnTime;
  IsAway = false;
  std::map<base::instance_id, instance_listing> Current;
  for (instance_listing &Listing : List)
    Current.emplace(Listing.Instance, std::move(Listing));
  if (Now < KeepUntil)
    Current.insert(Known.begin(), Known.end());
  Known = std::move(Current);
  std::vector<instance_listing> Result;
  for (const auto &[Instance, Listing] : Known)
    Result.push_back(Listing);
  return Result;
}

} // namespace radishrelay::sessions
