#ifndef RADISHRELAY_DAEMON_REQUEST_TASK_H
#define RADISHRELAY_DAEMON_REQUEST_TASK_H

#include "radishrelay/daemon/caller_request.h"
#include "radishrelay/groups/connection_number.h"
#include "radishrelay/groups/instance_status.h"
#include "radishrelay/groups/keyed_write.h"
#include "radishrelay/groups/read_request.h"
#include "radishrelay/groups/session_positions.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace radishrelay::daemon {

/// Number of a task; unique in this process.
using task_id = std::uint64_t;

/// Stage of a request_task.
enum class task_stage {
  /// Waits until an instance is fresh enough, or until there is a primary.
  WaitingForInstance,
  /// Waits in the queue of an instance.
  Queued,
  Running,
  /// Has run; waits until a majority of the instances holds the log position.
  WaitingForMajority,
  Ended,
};

/// One admitted request and the state of its execution in a database group.
/// Owned by the decision thread.
class request_task
    : public boost::intrusive_ref_counter<request_task,
                                          boost::thread_unsafe_counter> {
public:
  request_task(task_id Id, caller_request Request)
      : Id(Id), Request(std::move(Request)) {}

  const task_id Id;
  const caller_request Request;

  /// True for a read outside a transaction. All other requests need the
  /// primary.
  [[nodiscard]] bool isRead() const {
    return Request.Route && Request.Route->Kind == fleet::route_kind::Read &&
           Request.Transaction.empty();
  }

  bool IsCallerDisconnected = false;
  groups::session_positions Session;
  task_stage Stage = task_stage::WaitingForInstance;
  /// In the stage WaitingForInstance: when to choose an instance again.
  base::time_point WakeAt;
  /// What a read requires of its instance, and its count of failed checks.
  groups::read_request Read;
  /// True when the result of the read counts only after a majority has
  /// confirmed the primary.
  bool NeedsConfirmation = false;
  /// Set for a write with an idempotency key.
  std::optional<groups::keyed_write> Keyed;
  /// Statements of the task's next run.
  std::vector<groups::sql_statement> NextStatements;
  /// Index of the instance in whose queue the task waits or on which it runs.
  std::size_t Instance = 0;
  groups::connection_number Connection = 0;
  std::uint32_t Attempts = 0;
  /// True when a byte of the request may have reached a backend server.
  bool MayHaveRun = false;
  std::string AnswerBody;
  /// Log position that a majority must hold before the answer is sent.
  groups::log_position AnswerPosition;
  /// Position that the answer adds to the session. It names an existing log
  /// entry, so that no log without that entry is taken to contain it after a
  /// failover.
  groups::log_position SessionPosition;
  /// Status that the instance reported in the run of the read.
  groups::status_evidence ReadEvidence;
  /// True when the answer was recorded by an earlier request with the same
  /// idempotency key.
  bool IsRepeatedAnswer = false;
};

using request_task_ptr = boost::intrusive_ptr<request_task>;

} // namespace radishrelay::daemon

#endif
