#ifndef RADISHRELAY_DAEMON_TRANSACTION_EVENTS_H
#define RADISHRELAY_DAEMON_TRANSACTION_EVENTS_H

#include "radishrelay/backend/backend_event.h"
#include "radishrelay/daemon/request_task.h"

namespace radishrelay::daemon {

class group_runtime;

/// What a group_runtime reports of connections that transactions hold.
class transaction_events {
public:
  virtual ~transaction_events() = default;

  /// BEGIN has run for \p Task on \p Connection, which stays held until
  /// releaseHeld().
  virtual void onBegun(group_runtime &Group, const request_task_ptr &Task,
                       groups::connection_number Connection,
                       base::time_point Now) = 0;

  /// The end of a run that runHeld() started.
  virtual void onHeldRun(const request_task_ptr &Task,
                         const backend::run_finished &Event,
                         base::time_point Now) = 0;

  /// A connection has ended; it need not be a held one.
  virtual void onConnectionClosed(groups::connection_number Connection,
                                  base::time_point Now) = 0;
};

} // namespace radishrelay::daemon

#endif
