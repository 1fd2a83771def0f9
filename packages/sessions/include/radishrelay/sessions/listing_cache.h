#ifndef RADISHRELAY_SESSIONS_LISTING_CACHE_H
#define RADISHRELAY_SESSIONS_LISTING_CACHE_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/instance_listing.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace radishrelay::sessions {

/// Caches the list of instances and retains entries that expired during an
/// outage of the store.
///
/// Entries of live instances return within about two seconds after the store
/// does; an instance that is still missing then has terminated.
///
/// A store that was restored from a copy shows earlier reports of the
/// instances. A report that precedes the last one known is not used, but
/// one that is written after it is a report of a live instance.
class listing_cache {
public:
  /// Takes a list that was read from the store. Returns it with the retained
  /// entries added.
  std::vector<instance_listing> merge(std::vector<instance_listing> List,
                                      base::time_point Now);
  /// Records that an outage precedes the next list, so that entries missing in
  /// it may have expired during the outage.
  void recordOutage() { HadOutage = true; }
  /// Drops retained entries that no list has contained until the end of their
  /// retention period, and returns the remaining list; empty if nothing was
  /// dropped.
  std::optional<std::vector<instance_listing>>
  dropExpired(base::time_point Now);

private:
  struct departed_instance {
    instance_listing Listing;
    base::time_point KeptUntil;
  };

  /// Returns \p Listing or the later report that is known; empty if the
  /// instance has left since.
  [[nodiscard]] std::optional<instance_listing>
  newestReport(const instance_listing &Listing);
  /// Records a report that precedes the last one known. Returns whether it was
  /// written after another such report, thus after the store was restored.
  bool isWrittenAfterRestore(const instance_listing &Listing);
  [[nodiscard]] std::vector<instance_listing> entries() const;

  std::map<base::instance_id, instance_listing> Known;
  /// Instances in Known that the last list did not contain.
  std::set<base::instance_id> Retained;
  /// Last reports of instances that are no longer listed.
  std::map<base::instance_id, departed_instance> Departed;
  /// First report of each instance that preceded the last one known.
  std::map<base::instance_id, instance_listing> Preceding;
  bool HadOutage = false;
  /// Time until which missing entries are retained.
  base::time_point RetainUntil;
};

} // namespace radishrelay::sessions

#endif
