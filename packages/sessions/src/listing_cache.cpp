#include "radishrelay/sessions/listing_cache.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Time for which entries are retained after an outage: two seconds for live
/// instances to report again, and the delay of a report.
constexpr base::duration RetentionPeriod = std::chrono::milliseconds(2500);
/// Time for which the last report of an instance that has left is kept; longer
/// than the age of a copy from which the store may be restored.
constexpr base::duration LastReportLifetime = std::chrono::seconds(60);

} // namespace

std::vector<instance_listing>
listing_cache::merge(std::vector<instance_listing> List, base::time_point Now) {
  if (HadOutage)
    RetainUntil = Now + RetentionPeriod;
  HadOutage = false;
  std::map<base::instance_id, instance_listing> Current;
  for (instance_listing &Listing : List)
    if (std::optional<instance_listing> Newest = newestReport(Listing))
      Current.emplace(Listing.Instance, std::move(*Newest));
  Retained.clear();
  for (const auto &[Instance, Listing] : Known) {
    if (Current.contains(Instance))
      continue;
    if (Now >= RetainUntil) {
      Departed[Instance] = {Listing, Now + LastReportLifetime};
      continue;
    }
    Current.emplace(Instance, Listing);
    Retained.insert(Instance);
  }
  Known = std::move(Current);
  std::erase_if(Preceding, [&](const auto &Entry) {
    return std::ranges::none_of(List, [&](const instance_listing &Listing) {
      return Listing.Instance == Entry.first;
    });
  });
  std::erase_if(Departed, [&](const auto &Entry) {
    return Now >= Entry.second.KeptUntil || Known.contains(Entry.first);
  });
  return entries();
}

std::optional<instance_listing>
listing_cache::newestReport(const instance_listing &Listing) {
  auto Present = Known.find(Listing.Instance);
  auto Left = Departed.find(Listing.Instance);
  bool IsPresent = Present != Known.end();
  bool IsEarlier = IsPresent ? Listing.precedes(Present->second)
                             : Left != Departed.end() &&
                                   Listing.precedes(Left->second.Listing);
  if (!IsEarlier || isWrittenAfterRestore(Listing)) {
    Preceding.erase(Listing.Instance);
    return Listing;
  }
  return IsPresent ? std::optional(Present->second) : std::nullopt;
}

bool listing_cache::isWrittenAfterRestore(const instance_listing &Listing) {
  auto [Entry, IsFirst] = Preceding.try_emplace(Listing.Instance, Listing);
  if (IsFirst)
    return false;
  if (Entry->second.sharesHistory(Listing))
    return Entry->second.Version < Listing.Version;
  Entry->second = Listing;
  return false;
}

std::optional<std::vector<instance_listing>>
listing_cache::dropExpired(base::time_point Now) {
  if (Retained.empty() || Now < RetainUntil)
    return std::nullopt;
  for (const base::instance_id &Instance : Retained) {
    Departed[Instance] = {Known.at(Instance), Now + LastReportLifetime};
    Known.erase(Instance);
  }
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
