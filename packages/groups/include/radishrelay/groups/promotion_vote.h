#ifndef RADISHRELAY_GROUPS_PROMOTION_VOTE_H
#define RADISHRELAY_GROUPS_PROMOTION_VOTE_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/groups/log_position.h"

namespace radishrelay::groups {

/// Message from one host to the others: the sender's probes of the primary of
/// \p Term have failed, and it votes for a promotion. An action of the sender's
/// group_failover and an event of the receivers'.
struct promotion_vote {
  base::group_id Group;
  term_number Term = 0;
  base::host_id Host;
  base::failure_domain_id FailureDomain;

  friend bool operator==(const promotion_vote &,
                         const promotion_vote &) = default;
};

} // namespace radishrelay::groups

#endif
