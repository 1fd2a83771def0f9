#ifndef RADISHRELAY_DAEMON_LINK_ANSWER_H
#define RADISHRELAY_DAEMON_LINK_ANSWER_H

#include "radishrelay/daemon/link_call.h"
#include "radishrelay/groups/instance_answer.h"

namespace radishrelay::daemon {

/// The end of a link_call.
struct link_answer {
  groups::instance_answer Answer;
  call_user User = call_user::Failover;
};

} // namespace radishrelay::daemon

#endif
