#ifndef RADISHRELAY_SESSIONS_INSTANCE_LISTING_H
#define RADISHRELAY_SESSIONS_INSTANCE_LISTING_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_version.h"
#include "radishrelay/groups/instance_status.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace radishrelay::sessions {

/// One instance of a database group, as the platform lists it.
struct instance_listing {
  base::instance_id Instance;
  base::group_id Group;
  std::string Address;
  base::failure_domain_id Domain;
  /// Role that the instance reports of itself.
  groups::instance_role Role = groups::instance_role::Replica;
  bool Draining = false;
  /// Start time of the instance's process, in Unix milliseconds; a restarted
  /// instance keeps its identifier.
  std::int64_t StartedAt = 0;
  /// Number of the report since the start of the process; 0 if not known. A
  /// report that repeats another one has a higher number.
  std::uint64_t Sequence = 0;
  /// Version of the store's row that holds the report; 0 if not known.
  base::row_version Version = 0;
  /// How much longer the instance is slow after its start, as of the report.
  base::duration ColdTime{};

  /// Whether both were written in the same history of the store, whose versions
  /// then order them.
  [[nodiscard]] bool sharesHistory(const instance_listing &Other) const {
    return Version != 0 && Other.Version != 0 &&
           base::historyOf(Version) == base::historyOf(Other.Version);
  }
  /// Whether this report is known to be earlier than \p Other. The numbers of
  /// the reports count only across histories, since another writer may have
  /// stored numbers that no instance reaches.
  [[nodiscard]] bool precedes(const instance_listing &Other) const {
    if (sharesHistory(Other))
      return Version < Other.Version;
    bool AreStartsKnown = StartedAt != 0 && Other.StartedAt != 0;
    return AreStartsKnown && std::tie(StartedAt, Sequence) <
                                 std::tie(Other.StartedAt, Other.Sequence);
  }
  /// Whether both say the same, apart from what changes with each report.
  [[nodiscard]] bool hasSameContent(instance_listing Other) const {
    Other.Sequence = Sequence;
    Other.Version = Version;
    Other.ColdTime = ColdTime;
    return *this == Other;
  }

  friend bool operator==(const instance_listing &,
                         const instance_listing &) = default;
};

} // namespace radishrelay::sessions

#endif
