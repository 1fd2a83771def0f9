#ifndef RADISHRELAY_GROUPS_GROUP_POSITION_H
#define RADISHRELAY_GROUPS_GROUP_POSITION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// A position in the log of a database group.
struct group_position {
  base::group_id Group;
  log_position Position;

  friend bool operator==(const group_position &,
                         const group_position &) = default;
};

} // namespace radishrelay::groups

#endif
