#ifndef RADISHRELAY_DAEMON_LINK_ANSWER_H
#define RADISHRELAY_DAEMON_LINK_ANSWER_H

#include "radishrelay/daemon/link_call.h"
#include "radishrelay/groups/instance_answer.h"

namespace radishrelay::daemon {

/// Result of a link_call, with the component that requested the call.
struct link_answer {
  groups::instance_answer Answer;
  call_requester Requester = call_requester::Failover;
};

} // namespace radishrelay::daemon

#endif
