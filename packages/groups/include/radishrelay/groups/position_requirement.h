#ifndef RADISHRELAY_GROUPS_POSITION_REQUIREMENT_H
#define RADISHRELAY_GROUPS_POSITION_REQUIREMENT_H

#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// What a session requires of the data that one of its reads sees.
struct position_requirement {
  /// The read must see the log up to here; {0, 0} requires nothing.
  log_position Position;
  /// The position is no longer known, so that only a primary whose reign a
  /// majority confirms after the read can serve it.
  bool NeedsConfirmedPrimary = false;

  friend bool operator==(const position_requirement &,
                         const position_requirement &) = default;
};

} // namespace radishrelay::groups

#endif
