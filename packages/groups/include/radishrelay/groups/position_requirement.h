#ifndef RADISHRELAY_GROUPS_POSITION_REQUIREMENT_H
#define RADISHRELAY_GROUPS_POSITION_REQUIREMENT_H

#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// Log position that a read of a session must see, for read-your-writes.
struct position_requirement {
  /// The read must see the log up to this position; {0, 0} requires nothing.
  log_position Position;
  /// The session no longer knows its position. The read is then served only by
  /// a primary whose term a majority confirms after the read was sent.
  bool NeedsConfirmedPrimary = false;

  friend bool operator==(const position_requirement &,
                         const position_requirement &) = default;
};

} // namespace radishrelay::groups

#endif
