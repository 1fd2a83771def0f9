#ifndef RADISHRELAY_DAEMON_LINK_CALL_H
#define RADISHRELAY_DAEMON_LINK_CALL_H

#include "radishrelay/groups/instance_call.h"

namespace radishrelay::daemon {

/// Who asked for a call. Only the failover's calls are probes: a failure of
/// another call on an open connection says nothing of the instance.
enum class call_user { Failover, WriteTracker };

/// A call to an instance and who asked for it.
struct link_call {
  groups::instance_call Call;
  call_user User = call_user::Failover;
};

} // namespace radishrelay::daemon

#endif
