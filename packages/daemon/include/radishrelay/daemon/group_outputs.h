#ifndef RADISHRELAY_DAEMON_GROUP_OUTPUTS_H
#define RADISHRELAY_DAEMON_GROUP_OUTPUTS_H

#include "radishrelay/backend/backend_command.h"
#include "radishrelay/base/log.h"
#include "radishrelay/daemon/http_message.h"
#include "radishrelay/daemon/request_task.h"
#include "radishrelay/groups/promotion_vote.h"
#include "radishrelay/groups/store_call.h"

#include <string_view>

namespace radishrelay::daemon {

class group_runtime;

/// What a group_runtime needs from the rest of the decision thread.
class group_outputs {
public:
  virtual ~group_outputs() = default;

  /// Ends the task with \p Answer. The implementation sets Answer.Connection.
  virtual void finishTask(request_task &Task, http_answer &&Answer) = 0;
  /// Returns false when the backend thread accepts no more commands; no event
  /// follows.
  virtual bool submitToBackend(backend::backend_command &&Command) = 0;
  /// Sends a call to the store; group_runtime::onStore() takes the answer.
  virtual void submitToStore(group_runtime &Group,
                             const groups::store_call &Call) = 0;
  /// Sends this host's vote for a promotion to all other hosts.
  virtual void sendVote(const groups::promotion_vote &Vote) = 0;
  /// Returns a run number that is unique in this process.
  virtual backend::run_id nextRun() = 0;
  virtual void log(base::log_level Level, std::string_view Event,
                   const base::json &Fields) = 0;
};

} // namespace radishrelay::daemon

#endif
