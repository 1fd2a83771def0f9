#ifndef RADISHRELAY_SESSIONS_INSTANCE_STATUS_H
#define RADISHRELAY_SESSIONS_INSTANCE_STATUS_H

#include "radishrelay/groups/instance_status.h"

namespace radishrelay::sessions {

/// Status that an instance reports of itself.
struct instance_status {
  groups::instance_role Role = groups::instance_role::Replica;
  groups::term_number Term = 0;
  /// Last log entry received.
  groups::log_position Received;
  /// Term for which the instance is fenced, 0 if it is not fenced. A fenced
  /// instance receives no log entry of a lower term.
  groups::term_number FencedTerm = 0;

  friend bool operator==(const instance_status &,
                         const instance_status &) = default;
};

} // namespace radishrelay::sessions

#endif
