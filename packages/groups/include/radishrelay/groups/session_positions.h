#ifndef RADISHRELAY_GROUPS_SESSION_POSITIONS_H
#define RADISHRELAY_GROUPS_SESSION_POSITIONS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/groups/group_position.h"
#include "radishrelay/groups/position_requirement.h"

#include <cstdint>
#include <vector>

namespace radishrelay::groups {

/// Maximum number of database groups whose positions a session stores.
inline constexpr std::size_t MaxSessionGroups = 16;

/// Content of a session token: the log positions that a session has seen.
///
/// A session that has seen more than MaxSessionGroups groups evicts the least
/// recently changed position and is marked as overflowed. From then on, a read
/// of a group without a stored position requires a confirmed primary, which
/// holds all acknowledged writes. Without this mark an evicted position would
/// break read-your-writes.
struct session_positions {
  base::account_id Account;
  /// Most recently changed first; at most one entry per group.
  std::vector<group_position> Positions;
  /// True when a position has been evicted; never reset within a session.
  bool Overflowed = false;
  /// Milliseconds since the Unix epoch.
  std::int64_t IssuedAtMs = 0;

  /// Records that the session has seen \p Position of \p Group. A position
  /// at or below the stored one has no effect.
  void merge(const base::group_id &Group, const log_position &Position);

  /// Records all positions of \p Other, which belongs to the same account.
  void merge(const session_positions &Other);

  /// Removes the least recently changed position and sets Overflowed.
  void evictOldest();

  /// Returns what a read of \p Group must satisfy for read-your-writes.
  [[nodiscard]] position_requirement
  requirementFor(const base::group_id &Group) const;

  [[nodiscard]] base::json dump() const;

  friend bool operator==(const session_positions &,
                         const session_positions &) = default;
};

} // namespace radishrelay::groups

#endif
