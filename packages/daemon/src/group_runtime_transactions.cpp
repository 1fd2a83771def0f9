#include "radishrelay/daemon/group_runtime.h"

#include "run_outcome.h"

#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/retry_policy.h"
#include "radishrelay/groups/term_history.h"

namespace radishrelay::daemon {

namespace {

/// Index of the status in the run that opens a transaction.
constexpr std::size_t OpenStatusIndex = 1;

constexpr base::duration RetryDelay = std::chrono::milliseconds(20);

} // namespace

void group_runtime::finishOpen(const request_task_ptr &Task,
                               const backend::run_finished &Event,
                               base::time_point Now) {
  // BEGIN alone has no effect, so the request may be retried.
  Task->MayHaveRun = false;
  auto Evidence = detail::statusAt(Event, OpenStatusIndex);
  if (Evidence)
    observeStatus(Task->Instance, *Evidence, Now);
  groups::position_requirement Required =
      Task->Session.requirementFor(Options.Group.Id);
  // A primary that was replaced may lack writes that the session has seen on
  // its successor.
  bool HoldsSession =
      Evidence &&
      groups::term_history(Evidence->Status).relate(Required.Position) ==
          groups::position_relation::Contained;
  if (!Event.Failure && HoldsSession && Transactions) {
    recordRunEnd(*Task, Event, Now);
    Waiting.erase(Task->Id);
    Tasks.erase(Task->Id);
    Task->Stage = task_stage::Ended;
    Transactions->onTransactionBegun(*this, Task, Task->Connection, Now);
    return;
  }
  releaseConnection(*Task, Event, Now);
  groups::attempt_end End = detail::attemptEnd(Event);
  bool IsPermanentError = groups::isDefiniteRollback(End.SqlState) &&
                          !groups::isNotPrimary(End.SqlState);
  if (IsPermanentError)
    refuse(*Task, detail::statementProblem(Event, groups::ran_state::No));
  else if (Task->IsCallerDisconnected)
    refuse(*Task, {problem_code::QueueDeadline, groups::ran_state::No,
                   "the caller has gone", "open transaction", "", 0});
  else
    waitForInstance(Task, Now + RetryDelay);
}

void group_runtime::runOnHeldConnection(
    const request_task_ptr &Task, groups::connection_number Connection,
    const std::vector<groups::sql_statement> &Statements,
    base::time_point Now) {
  Task->Instance = instanceOf(Connection);
  Task->Connection = Connection;
  std::vector<backend::statement> Converted;
  for (const groups::sql_statement &Statement : Statements)
    Converted.push_back(toBackend(Statement));
  run(Task, std::move(Converted), Now);
}

void group_runtime::releaseHeldConnection(groups::connection_number Connection,
                                          groups::connection_release_state End,
                                          base::time_point Now) {
  std::size_t Index = instanceOf(Connection);
  Instances[Index]->Link.release(Connection, End, Now);
  startQueued(Index, Now);
}

void group_runtime::acknowledgeCommit(const request_task_ptr &Task,
                                      const groups::log_position &Position,
                                      base::time_point Now) {
  Tasks.emplace(Task->Id, Task);
  // A primary that has committed has an entry of its term in its log, so the
  // position names an existing entry.
  Task->SessionPosition = Position;
  awaitMajority(Task, Position, Now);
  deliverAnswers(Now);
}

} // namespace radishrelay::daemon
