#ifndef RADISHRELAY_BACKEND_SRC_INSTANCE_CONTEXT_H
#define RADISHRELAY_BACKEND_SRC_INSTANCE_CONTEXT_H

#include "admission_queue.h"
#include "instance_store.h"
#include "radishrelay/backend/stand_in_options.h"
#include "radishrelay/backend/stand_in_report.h"

#include <vector>

namespace radishrelay::backend::detail {

/// What the sessions of one instance share.
struct instance_context {
  instance_context(const stand_in_options &Options, groups::instance_role Role)
      : Store(Role), WriteLock(1), Slots(Options.Slots),
        ServiceTime(Options.ServiceTime), LockWait(Options.LockWait),
        ConnectDelay(Options.ConnectDelay),
        ConnectionLimit(Options.ConnectionLimit) {}

  /// Ends the session's hold on \p Queue and lets the next one continue.
  void release(admission_queue &Queue, session_id Id) {
    if (std::optional<session_id> Next = Queue.leave(Id))
      Runnable.push_back(*Next);
  }

  instance_store Store;
  admission_queue WriteLock;
  admission_queue Slots;
  /// Sessions that were admitted to what they waited for.
  std::vector<session_id> Runnable;
  stand_in_report Counters;

  base::duration ServiceTime;
  base::duration LockWait;
  base::duration ConnectDelay;
  std::size_t ConnectionLimit;
  base::duration AnswerDelay = base::duration::zero();
  bool LosesNextCommitAnswer = false;
};

} // namespace radishrelay::backend::detail

#endif
