#ifndef RADISHRELAY_SESSIONS_LISTING_CACHE_H
#define RADISHRELAY_SESSIONS_LISTING_CACHE_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/instance_listing.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishrelay::sessions {

/// Keeps instances in use whose entries lapsed while the store was away.
///
/// Entries of living instances are back within about two seconds of the
/// store's return; one that is missing later is gone.
class listing_cache {
public:
  /// The list was read. Returns it with the entries that are still kept.
  std::vector<instance_listing> merge(std::vector<instance_listing> List,
                                      base::time_point Now);
  /// Entries may have lapsed before the list that is merged next.
  void recordOutage() { HadOutage = true; }
  /// Returns the list once entries are no longer kept that were in no list
  /// since.
  std::optional<std::vector<instance_listing>>
  dropExpired(base::time_point Now);

private:
  [[nodiscard]] std::vector<instance_listing> entries() const;

  std::map<base::instance_id, instance_listing> Known;
  /// The entries of Known that the last list lacked.
  std::set<base::instance_id> Retained;
  bool HadOutage = false;
  /// Until when missing entries are kept.
  base::time_point RetainUntil;
};

} // namespace radishrelay::sessions

#endif
