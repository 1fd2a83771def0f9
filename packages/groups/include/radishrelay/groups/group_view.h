#ifndef RADISHRELAY_GROUPS_GROUP_VIEW_H
#define RADISHRELAY_GROUPS_GROUP_VIEW_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

#include <optional>

namespace radishrelay::groups {

/// Where a database group's writes go, as one host knows it by probing.
struct group_view {
  term_number Term = 0;
  /// Empty while no instance is known to be able to commit writes.
  std::optional<base::instance_id> Primary;
  /// When this host learned of the current term and primary.
  base::time_point Since;

  friend bool operator==(const group_view &, const group_view &) = default;
};

} // namespace radishrelay::groups

#endif
