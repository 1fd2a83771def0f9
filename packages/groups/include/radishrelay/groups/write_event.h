#ifndef RADISHRELAY_GROUPS_WRITE_EVENT_H
#define RADISHRELAY_GROUPS_WRITE_EVENT_H

#include "radishrelay/groups/committed_write.h"
#include "radishrelay/groups/instance_answer.h"
#include "radishrelay/groups/term_lease.h"
#include "radishrelay/groups/time_passed.h"

#include <variant>

namespace radishrelay::groups {

/// Input of write_tracker::handle.
using write_event =
    std::variant<committed_write, instance_answer, term_lease, time_passed>;

} // namespace radishrelay::groups

#endif
