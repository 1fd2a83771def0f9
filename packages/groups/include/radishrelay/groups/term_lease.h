#ifndef RADISHRELAY_GROUPS_TERM_LEASE_H
#define RADISHRELAY_GROUPS_TERM_LEASE_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// Event: the table service returned \p Term as the current term of the group,
/// which entitles this host to acknowledge writes of that term until the
/// deadline. A promoter of a later term waits until every such lease has
/// expired.
struct term_lease {
  term_number Term = 0;
  /// End of the lease. Its duration counts from before the request to the table
  /// service was sent, so that it ends no later than a promoter assumes.
  base::time_point Deadline;

  friend bool operator==(const term_lease &, const term_lease &) = default;
};

} // namespace radishrelay::groups

#endif
