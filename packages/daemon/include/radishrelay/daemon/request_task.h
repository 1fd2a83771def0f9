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

/// Number of a task, never used twice in a process.
using task_id = std::uint64_t;

/// Where a task stands.
enum class task_stage {
  /// Waits until an instance is fresh enough, or until there is a primary.
  WaitingForInstance,
  /// Waits in the queue of an instance.
  Queued,
  Running,
  /// Has run; waits until a majority has the position.
  WaitingForMajority,
  Ended,
};

/// One admitted request on its way through a database group. Owned by the
/// decision thread.
class request_task
    : public boost::intrusive_ref_counter<request_task,
                                          boost::thread_unsafe_counter> {
public:
  request_task(task_id Id, caller_request Request)
      : Id(Id), Request(std::move(Request)) {}

  const task_id Id;
  const caller_request Request;

  /// True for a read outside a transaction; all else needs the primary.
  [[nodiscard]] bool isRead() const {
    return Request.Route && Request.Route->Kind == fleet::route_kind::Read &&
           Request.Transaction.empty();
  }

  /// The caller has closed its connection.
  bool CallerGone = false;
  groups::session_positions Session;
  task_stage Stage = task_stage::WaitingForInstance;
  /// When to decide again, in the stage WaitingForInstance.
  base::time_point WakeAt;
  /// What a read requires; its counts change with failed attempts.
  groups::read_request Read;
  /// The decision for the read that runs asked for a confirmed primary.
  bool NeedsConfirmation = false;
  /// Set for a write with an idempotency key.
  std::optional<groups::keyed_write> Keyed;
  /// Statements of the run that the keyed write asks for next.
  std::vector<groups::sql_statement> NextStatements;
  /// Instance that the task waits for or runs on.
  std::size_t Instance = 0;
  groups::connection_number Connection = 0;
  std::uint32_t Attempts = 0;
  /// A byte of the request may have reached a backend server.
  bool MayHaveRun = false;
  /// Body of the answer, and the position that must be acknowledged for it.
  std::string AnswerBody;
  groups::log_position AnswerPosition;
  /// What the answer adds to the session: an entry that no failover gives to
  /// another log.
  groups::log_position SessionPosition;
  groups::status_evidence ReadEvidence;
  bool IsRepeatedAnswer = false;
};

using request_task_ptr = boost::intrusive_ptr<request_task>;

} // namespace radishrelay::daemon

#endif
