#include "radishrelay/daemon/group_runtime.h"

#include "run_outcome.h"

#include "radishrelay/groups/request_error.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/retry_policy.h"
#include "radishrelay/groups/term_history.h"

#include <Poco/Timestamp.h>

namespace radishrelay::daemon {

namespace {

namespace statements = groups::request_statements;

/// Indices of the statements in the run of a write without an idempotency key.
constexpr std::size_t WriteResultIndex = 1;
constexpr std::size_t WriteCommitIndex = 2;
constexpr std::size_t WriteStatusIndex = 3;

/// Index of the status in the last run of a write with an idempotency key.
constexpr std::size_t KeyedStatusIndex = 2;
/// Index of the caller's statement in the first run of a keyed write.
constexpr std::size_t KeyedResultIndex = 2;
/// Index of the recorded answer in the run that looks up an idempotency key.
constexpr std::size_t KeyedRecordIndex = 1;

groups::keyed_request keyedRequest(const caller_request &Request) {
  constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
  groups::keyed_request Keyed;
  Keyed.Account = Request.account();
  Keyed.Key = Request.IdempotencyKey;
  Keyed.Route = Request.Route->Name;
  Keyed.BodyDigest = Request.BodyDigest;
  Keyed.Statement = {Request.Route->Statement, Request.Parameters};
  Keyed.ReceivedAtMs =
      Poco::Timestamp().epochMicroseconds() / MicrosecondsPerMillisecond;
  return Keyed;
}

std::vector<groups::sql_statement>
unkeyedStatements(const caller_request &Request) {
  return {statements::begin(),
          {Request.Route->Statement, Request.Parameters},
          statements::commit(),
          statements::groupStatus()};
}

std::optional<groups::request_record>
recordOf(const backend::run_finished &Event) {
  constexpr std::size_t ColumnCount = 3;
  if (Event.Results.size() <= KeyedRecordIndex ||
      Event.Results[KeyedRecordIndex].Rows.empty())
    return std::nullopt;
  const auto &Row = Event.Results[KeyedRecordIndex].Rows[0];
  if (Row.size() < ColumnCount)
    return std::nullopt;
  return groups::request_record{Row[0].value_or(""), Row[1].value_or(""),
                                Row[2].value_or("")};
}

problem noPrimaryProblem(const std::string &Group) {
  return {problem_code::NoPrimary,
          groups::ran_state::No,
          "no instance is known to commit writes",
          "choose instance",
          Group,
          1};
}

} // namespace

void group_runtime::startWrite(const request_task_ptr &Task,
                               base::time_point Now) {
  if (Now >= Task->Request.Deadline) {
    if (Task->MayHaveRun && Task->Keyed)
      refuse(*Task,
             detail::outcomeUnknownProblem("the deadline passed", "retry write",
                                           Options.Group.Id.str()));
    else
      refuse(*Task, noPrimaryProblem(Options.Group.Id.str()));
    return;
  }
  if (Task->NextStatements.empty()) {
    if (Task->Request.Operation == caller_operation::OpenTransaction) {
      Task->NextStatements = {statements::begin(), statements::groupStatus()};
    } else if (Task->Request.IdempotencyKey.empty()) {
      Task->NextStatements = unkeyedStatements(Task->Request);
    } else {
      Task->Keyed.emplace(keyedRequest(Task->Request), Task->Request.Deadline);
      groups::keyed_write_action Action = Task->Keyed->start(Now);
      Task->NextStatements =
          std::get<groups::run_on_primary>(Action).Statements;
    }
  }
  std::optional<std::size_t> Primary = primary();
  if (Primary)
    enqueue(Task, *Primary, Now);
  else
    waitForInstance(Task, Task->Request.Deadline);
}

void group_runtime::finishWrite(const request_task_ptr &Task,
                                const backend::run_finished &Event,
                                base::time_point Now) {
  if (Task->Keyed)
    finishKeyedRun(Task, Event, Now);
  else
    finishUnkeyedWrite(Task, Event, Now);
}

void group_runtime::finishUnkeyedWrite(const request_task_ptr &Task,
                                       const backend::run_finished &Event,
                                       base::time_point Now) {
  releaseConnection(*Task, Event, Now);
  auto Evidence = detail::statusAt(Event, WriteStatusIndex);
  if (Event.Failure || !Evidence) {
    failUnkeyedWrite(Task, Event, Now);
    return;
  }
  observeStatus(Task->Instance, *Evidence, Now);
  Task->SessionPosition = groups::term_history(Evidence->Status).lastEntry();
  Task->AnswerBody = resultBody(Event.Results[WriteResultIndex]);
  awaitMajority(Task, Evidence->Status.Position, Now);
}

void group_runtime::failUnkeyedWrite(const request_task_ptr &Task,
                                     const backend::run_finished &Event,
                                     base::time_point Now) {
  groups::attempt_end End = detail::attemptEnd(Event);
  bool HasCommitted = Event.Results.size() > WriteCommitIndex;
  groups::ran_state Ran =
      HasCommitted ? groups::ran_state::Yes : groups::ranAfter(End);
  if (Ran != groups::ran_state::No) {
    refuse(*Task, detail::outcomeUnknownProblem(
                      "the write may have run: " + Event.Failure.Code.message(),
                      Event.Failure.Step, Event.Failure.Peer));
    return;
  }
  // A fenced primary has rolled the write back, and an unsent write has not
  // run: the next primary may run it.
  if (groups::isNotPrimary(End.SqlState) || !End.MayHaveReached) {
    Task->MayHaveRun = false;
    waitForInstance(Task, Now + std::chrono::milliseconds(20));
    return;
  }
  refuse(*Task, detail::statementProblem(Event, groups::ran_state::No));
}

void group_runtime::finishKeyedRun(const request_task_ptr &Task,
                                   const backend::run_finished &Event,
                                   base::time_point Now) {
  groups::attempt_end End = detail::attemptEnd(Event);
  auto Evidence = detail::statusAt(Event, KeyedStatusIndex);
  groups::log_position Position;
  if (Evidence) {
    Position = Evidence->Status.Position;
    Task->SessionPosition = groups::term_history(Evidence->Status).lastEntry();
  }
  using state = groups::keyed_write::state;
  switch (Task->Keyed->current()) {
  case state::Claiming: {
    std::string Answer;
    if (End.Succeeded)
      Answer = resultBody(Event.Results[KeyedResultIndex]);
    applyKeyedAction(Task, Task->Keyed->claimEnded(End, Answer, Now), Event,
                     Now);
    return;
  }
  case state::Committing:
    End.Succeeded = End.Succeeded && Evidence;
    applyKeyedAction(Task, Task->Keyed->commitEnded(End, Position, Now), Event,
                     Now);
    return;
  case state::LookingUp:
    End.Succeeded = End.Succeeded && Evidence;
    applyKeyedAction(
        Task, Task->Keyed->lookupEnded(End, recordOf(Event), Position, Now),
        Event, Now);
    return;
  case state::Idle:
  case state::Ended:
    return;
  }
}

void group_runtime::applyKeyedAction(const request_task_ptr &Task,
                                     const groups::keyed_write_action &Action,
                                     const backend::run_finished &Event,
                                     base::time_point Now) {
  const auto *Run = std::get_if<groups::run_on_primary>(&Action);
  if (Run && !Run->IsNewAttempt) {
    std::vector<backend::statement> Statements;
    for (const groups::sql_statement &Statement : Run->Statements)
      Statements.push_back(toBackend(Statement));
    run(Task, std::move(Statements), Now);
    return;
  }
  releaseConnection(*Task, Event, Now);
  if (Run) {
    Task->NextStatements = Run->Statements;
    waitForInstance(Task, Now + std::chrono::milliseconds(20));
    return;
  }
  if (const auto *Done =
          std::get_if<groups::answer_when_acknowledged>(&Action)) {
    Task->AnswerBody = Done->Answer;
    Task->IsRepeatedAnswer = Done->IsRepeated;
    awaitMajority(Task, Done->Position, Now);
    return;
  }
  failKeyedWrite(Task, std::get<groups::fail_request>(Action), Event, Now);
}

void group_runtime::failKeyedWrite(const request_task_ptr &Task,
                                   const groups::fail_request &Failure,
                                   const backend::run_finished &Event,
                                   base::time_point Now) {
  (void)Now;
  if (Failure.Code == groups::request_error::KeyReused)
    refuse(*Task, {problem_code::IdempotencyKeyReused, Failure.Ran,
                   "the idempotency key was used with another request",
                   "look up idempotency key", Event.Failure.Peer, 0});
  else if (Failure.Code == groups::request_error::StatementFailed)
    refuse(*Task, detail::statementProblem(Event, Failure.Ran));
  else if (Failure.Ran == groups::ran_state::No)
    refuse(*Task, noPrimaryProblem(Options.Group.Id.str()));
  else
    refuse(*Task, detail::outcomeUnknownProblem(Failure.Code.message(),
                                                Event.Failure.Step,
                                                Event.Failure.Peer));
}

void group_runtime::awaitMajority(const request_task_ptr &Task,
                                  const groups::log_position &Position,
                                  base::time_point Now) {
  Task->Stage = task_stage::WaitingForMajority;
  Task->AnswerPosition = Position;
  apply(Tracker.handle(groups::committed_write{Task->Id, Position, Now,
                                               Task->Request.Deadline},
                       Now),
        Now);
}

void group_runtime::on(const groups::acknowledge_write &Action,
                       base::time_point Now) {
  request_task_ptr Task = findTask(Action.Write);
  if (!Task)
    return;
  Router.observeWrite(Task->AnswerPosition, Now);
  if (Task->isRead())
    checkRead(Task, true, Now);
  else
    succeed(*Task, Action.ValidUntil);
}

void group_runtime::on(const groups::report_unknown &Action,
                       base::time_point Now) {
  request_task_ptr Task = findTask(Action.Write);
  if (!Task)
    return;
  bool IsRead = Task->isRead();
  bool IsLate = Action.Reason == groups::unknown_reason::DeadlinePassed;
  if (IsRead && !IsLate) {
    ++Task->Read.FailedChecks;
    decideRead(Task, Now);
    return;
  }
  refuse(*Task, detail::outcomeUnknownProblem(
                    IsLate ? "no majority has confirmed it before the deadline"
                           : "the primary was replaced",
                    "await majority", Options.Group.Id.str()));
}

} // namespace radishrelay::daemon
