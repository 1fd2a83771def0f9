#ifndef RADISHRELAY_DAEMON_TRANSACTION_EVENTS_H
#define RADISHRELAY_DAEMON_TRANSACTION_EVENTS_H

#include "radishrelay/backend/backend_event.h"
#include "radishrelay/daemon/request_task.h"

namespace radishrelay::daemon {

class group_runtime;

/// Receives what a group_runtime reports about the connections that
/// transactions hold.
class transaction_events {
public:
  virtual ~transaction_events() = default;

  /// BEGIN has run for \p Task on \p Connection. The receiver holds the
  /// connection until it calls group_runtime::releaseHeldConnection().
  virtual void onTransactionBegun(group_runtime &Group,
                                  const request_task_ptr &Task,
                                  groups::connection_number Connection,
                                  base::time_point Now) = 0;

  /// A run that group_runtime::runOnHeldConnection() started has ended.
  virtual void onHeldRunFinished(const request_task_ptr &Task,
                                 const backend::run_finished &Event,
                                 base::time_point Now) = 0;

  /// A connection was closed or lost, whether or not a transaction holds it.
  virtual void onConnectionClosed(groups::connection_number Connection,
                                  base::time_point Now) = 0;
};

} // namespace radishrelay::daemon

#endif
