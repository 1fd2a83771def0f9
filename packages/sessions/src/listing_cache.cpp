#include "radishrelay/sessions/listing_cache.h"

namespace radishrelay::sessions {

namespace {

/// Time for which entries are retained after an outage: two seconds for live
/// instances to report again, and the delay of a report.
constexpr base::duration RetentionPeriod = std::chrono::milliseconds(2500);

} // namespace

std::vector<instance_listing>
listing_cache::merge(std::vector<instance_listing> List, base::time_point Now) {
  if (HadOutage)
    RetainUntil = Now + RetentionPeriod;
  HadOutage = false;
  std::map<base::instance_id, instance_listing> Current;
  for (instance_listing &Listing : List)
    Current.emplace(Listing.Instance, std::move(Listing));
  Retained.clear();
  if (Now < RetainUntil)
    for (const auto &[Instance, Listing] : Known)
      if (Current.emplace(Instance, Listing).second)
        Retained.insert(Instance);
  Known = std::move(Current);
  return entries();
}

std::optional<std::vector<instance_listing>>
listing_cache::dropExpired(base::time_point Now) {
  if (Retained.empty() || Now < RetainUntil)
    return std::nullopt;
  for (const base::instance_id &Instance : Retained)
    Known.erase(Instance);
  Retained.clear();
  return entries();
}

std::vector<instance_listing> listing_cache::entries() const {
  std::vector<instance_listing> Result;
  for (const auto &[Instance, Listing] : Known)
    Result.push_back(Listing);
  return Result;
}

} // namespace radishrelay::sessions
