#ifndef RADISHRELAY_DAEMON_LINK_CALL_H
#define RADISHRELAY_DAEMON_LINK_CALL_H

#include "radishrelay/groups/instance_call.h"

namespace radishrelay::daemon {

/// Component that requested a call. Only the calls of failover are probes: the
/// failure of any other call on an open connection is no evidence about the
/// instance.
enum class call_requester { Failover, WriteTracker };

/// A call to an instance, with the component that requested it.
struct link_call {
  groups::instance_call Call;
  call_requester Requester = call_requester::Failover;
};

} // namespace radishrelay::daemon

#endif
