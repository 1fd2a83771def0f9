#ifndef RADISHRELAY_GROUPS_FAILOVER_EVENT_H
#define RADISHRELAY_GROUPS_FAILOVER_EVENT_H

#include "radishrelay/groups/instance_answer.h"
#include "radishrelay/groups/promotion_vote.h"
#include "radishrelay/groups/reachable_domains.h"
#include "radishrelay/groups/store_call_answer.h"
#include "radishrelay/groups/time_passed.h"

#include <variant>

namespace radishrelay::groups {

/// Input of group_failover::handle.
using failover_event =
    std::variant<instance_answer, store_call_answer, promotion_vote,
                 reachable_domains, time_passed>;

} // namespace radishrelay::groups

#endif
