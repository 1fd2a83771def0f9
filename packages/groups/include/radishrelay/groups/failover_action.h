#ifndef RADISHRELAY_GROUPS_FAILOVER_ACTION_H
#define RADISHRELAY_GROUPS_FAILOVER_ACTION_H

#include "radishrelay/groups/group_view.h"
#include "radishrelay/groups/instance_call.h"
#include "radishrelay/groups/promotion_vote.h"
#include "radishrelay/groups/store_call.h"

#include <variant>
#include <vector>

namespace radishrelay::groups {

/// What group_failover returns for its caller to carry out: a call to an
/// instance or to the table service, a vote to send to the other hosts, or a
/// new view to use for routing.
using failover_action =
    std::variant<instance_call, store_call, promotion_vote, group_view>;

using failover_actions = std::vector<failover_action>;

} // namespace radishrelay::groups

#endif
