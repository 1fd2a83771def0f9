#ifndef RADISHRELAY_GROUPS_SESSION_STATE_H
#define RADISHRELAY_GROUPS_SESSION_STATE_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/groups/group_position.h"
#include "radishrelay/groups/position_requirement.h"

#include <cstdint>
#include <vector>

namespace radishrelay::groups {

/// Largest number of database groups whose positions a session remembers.
inline constexpr std::size_t MaxSessionGroups = 16;

/// Content of a session token: the log positions that a session has seen.
///
/// A session that has seen more than MaxSessionGroups groups forgets the
/// position least recently changed and is marked as overflowed. From then on a
/// read of any group without a position requires a confirmed primary, which
/// holds all acknowledged writes. Without that mark a forgotten position would
/// break read-your-writes.
struct session_state {
  base::account_id Account;
  /// Most recently changed first; at most one entry per group.
  std::vector<group_position> Positions;
  /// True when a position has been forgotten; never reset within a session.
  bool Overflowed = false;
  /// Milliseconds since the Unix epoch.
  std::int64_t IssuedAtMs = 0;

  /// Records that the session has seen \p Position of \p Group. A position
  /// below the known one changes nothing.
  void merge(const base::group_id &Group, const log_position &Position);

  /// Records all that \p Other has seen; both are of the same account.
  void merge(const session_state &Other);

  /// Forgets the position least recently changed.
  void forgetOldest();

  /// What a read of \p Group must satisfy.
  [[nodiscard]] position_requirement
  requirementFor(const base::group_id &Group) const;

  [[nodiscard]] base::json dump() const;

  friend bool operator==(const session_state &,
                         const session_state &) = default;
};

} // namespace radishrelay::groups

#endif
