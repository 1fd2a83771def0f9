#ifndef RADISHRELAY_SESSIONS_INSTANCE_LISTING_H
#define RADISHRELAY_SESSIONS_INSTANCE_LISTING_H

#include "radishrelay/base/identifier.h"
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

  /// Whether the instance is known to have sent this report before \p Other.
  [[nodiscard]] bool precedes(const instance_listing &Other) const {
    bool AreStartsKnown = StartedAt != 0 && Other.StartedAt != 0;
    return AreStartsKnown && std::tie(StartedAt, Sequence) <
                                 std::tie(Other.StartedAt, Other.Sequence);
  }
  /// Whether both say the same, apart from the number of the report.
  [[nodiscard]] bool hasSameContent(instance_listing Other) const {
    Other.Sequence = Sequence;
    return *this == Other;
  }

  friend bool operator==(const instance_listing &,
                         const instance_listing &) = default;
};

} // namespace radishrelay::sessions

#endif
