#ifndef RADISHRELAY_GROUPS_GROUP_VIEW_H
#define RADISHRELAY_GROUPS_GROUP_VIEW_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

#include <optional>

namespace radishrelay::groups {

/// Current term of a database group and the instance that receives its writes,
/// as one host knows them from probes.
struct group_view {
  term_number Term = 0;
  /// Empty while no instance is known to be able to commit writes, or while the
  /// primary is suspected.
  std::optional<base::instance_id> Primary;
  /// When Term or Primary last changed on this host.
  base::time_point Since;

  friend bool operator==(const group_view &, const group_view &) = default;
};

} // namespace radishrelay::groups

#endif
