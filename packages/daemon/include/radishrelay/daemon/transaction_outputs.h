#ifndef RADISHRELAY_DAEMON_TRANSACTION_OUTPUTS_H
#define RADISHRELAY_DAEMON_TRANSACTION_OUTPUTS_H

#include "radishrelay/daemon/http_message.h"
#include "radishrelay/daemon/request_task.h"

namespace radishrelay::daemon {

class group_runtime;

/// What a transaction_runtime needs from the rest of the decision thread.
class transaction_outputs {
public:
  virtual ~transaction_outputs() = default;

  /// Ends the task with \p Answer. The implementation sets Answer.Connection.
  virtual void finishTask(request_task &Task, http_answer &&Answer) = 0;

  /// Sends the request to the host that holds its transaction and ends the
  /// task with that host's answer. Returns false when the host cannot be
  /// reached; the task is then not ended.
  virtual bool forwardToHost(const base::host_id &Host,
                             const request_task_ptr &Task) = 0;

  /// Returns null when the group is not in the current configuration.
  virtual group_runtime *findGroup(const base::group_id &Group) = 0;
};

} // namespace radishrelay::daemon

#endif
