#include "radishrelay/sessions/detail/starting_catalog.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

void starting_catalog::read(catalog_ptr NewCatalog) {
  if (!Newest || NewCatalog->Version > Newest->Version)
    Newest = std::move(NewCatalog);
}

void starting_catalog::ask(const std::vector<std::string> &Addresses,
                           base::time_point Now) {
  AskedAt = Now;
  Awaited = {Addresses.begin(), Addresses.end()};
}

void starting_catalog::replied(const std::string &Address,
                               std::uint64_t Version) {
  Replies += Awaited.erase(Address);
  Reported = std::max(Reported, Version);
}

bool starting_catalog::isOutdated() const {
  return Newest && Newest->Version < Reported;
}

catalog_ptr starting_catalog::adoptable(base::time_point Now) const {
  if (!Newest || !AskedAt)
    return nullptr;
  bool HasReplies = Awaited.empty() || Replies >= EnoughReplies;
  bool IsDue = isOutdated() ? Now >= *AskedAt + ReturnPeriod
                            : HasReplies || Now >= *AskedAt + ReplyTimeout;
  return IsDue ? Newest : nullptr;
}

base::time_point starting_catalog::nextWake() const {
  if (!Newest || !AskedAt)
    return base::time_point::max();
  return *AskedAt + (isOutdated() ? ReturnPeriod : ReplyTimeout);
}

} // namespace radishrelay::sessions::detail
