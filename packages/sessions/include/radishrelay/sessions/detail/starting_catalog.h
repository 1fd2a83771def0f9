#ifndef RADISHRELAY_SESSIONS_DETAIL_STARTING_CATALOG_H
#define RADISHRELAY_SESSIONS_DETAIL_STARTING_CATALOG_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/catalog.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// The configuration that a host has read before it has adopted one.
///
/// A store that was restored from a copy may show an older configuration than
/// the one in force, with keys that were withdrawn. The host therefore asks
/// some others for the version that they use, and waits until the store shows
/// that version.
class starting_catalog {
public:
  /// Time for the replies of other hosts.
  static constexpr base::duration ReplyTimeout = std::chrono::milliseconds(100);
  /// Time within which a restored store gets back what the operators wrote.
  static constexpr base::duration ReturnPeriod =
      std::chrono::milliseconds(2500);
  /// Hosts that are asked. Enough that some answer when half are down.
  static constexpr std::size_t MaxAsked = 4;
  /// Replies that are waited for. The others may come from hosts that are down.
  static constexpr std::size_t EnoughReplies = 2;

  /// Records a configuration that was read.
  void read(catalog_ptr NewCatalog);
  /// The configuration read last; null if there is none.
  [[nodiscard]] const catalog_ptr &newest() const { return Newest; }
  /// Starts to wait for the replies of the hosts at \p Addresses.
  void ask(const std::vector<std::string> &Addresses, base::time_point Now);
  [[nodiscard]] bool hasAsked() const { return AskedAt.has_value(); }
  /// Records a reply with the version that another host uses, 0 if none.
  void replied(const std::string &Address, std::uint64_t Version);
  /// Returns the configuration once it may be adopted, otherwise null.
  [[nodiscard]] catalog_ptr adoptable(base::time_point Now) const;
  /// Highest version that another host uses; 0 if none is known.
  [[nodiscard]] std::uint64_t reportedVersion() const { return Reported; }
  /// When adoptable may return another result if nothing happens before.
  [[nodiscard]] base::time_point nextWake() const;

private:
  [[nodiscard]] bool isOutdated() const;

  catalog_ptr Newest;
  std::optional<base::time_point> AskedAt;
  /// Hosts that have not replied.
  std::set<std::string> Awaited;
  std::size_t Replies = 0;
  std::uint64_t Reported = 0;
};

} // namespace radishrelay::sessions::detail

#endif
