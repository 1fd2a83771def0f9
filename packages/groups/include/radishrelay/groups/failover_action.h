#ifndef RADISHRELAY_GROUPS_FAILOVER_ACTION_H
#define RADISHRELAY_GROUPS_FAILOVER_ACTION_H

#include "radishrelay/groups/group_view.h"
#include "radishrelay/groups/instance_call.h"
#include "radishrelay/groups/promotion_vote.h"
#include "radishrelay/groups/store_call.h"

#include <variant>
#include <vector>

namespace radishrelay::groups {

/// What a group_failover asks for: calls, a promotion_vote to be sent to the
/// other hosts, or a new view to be used for routing.
using failover_action =
    std::variant<instance_call, store_call, promotion_vote, group_view>;

using failover_actions = std::vector<failover_action>;

} // namespace radishrelay::groups

#endif
