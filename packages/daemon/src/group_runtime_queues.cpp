#include "radishrelay/daemon/group_runtime.h"

#include "run_outcome.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

/// Divisor of a new sample's weight in the mean service time: 1/8.
constexpr int ServiceTimeSmoothing = 8;

std::int64_t secondsUntil(base::time_point Time, base::time_point Now) {
  auto Left = std::chrono::ceil<std::chrono::seconds>(Time - Now);
  return std::max<std::int64_t>(1, Left.count());
}

} // namespace

void group_runtime::enqueue(const request_task_ptr &Task, std::size_t Instance,
                            base::time_point Now) {
  instance_state &State = *Instances[Instance];
  Task->Instance = Instance;
  Task->Stage = task_stage::Queued;
  Waiting.erase(Task->Id);
  State.Queue.setConcurrency(State.Limit.limit());
  groups::queued_request Queued{Task->Id, Task->Request.account(),
                                State.MeanService, Task->Request.Deadline};
  groups::queue_admission Admission = State.Queue.push(Queued, Now);
  if (auto *Refused = std::get_if<groups::refused_by_queue>(&Admission)) {
    groups::ran_state Ran =
        Task->MayHaveRun ? groups::ran_state::Unknown : groups::ran_state::No;
    refuse(*Task, {problem_code::QueueDeadline, Ran,
                   "the queue is longer than the deadline allows",
                   "wait for connection", State.Link.options().Instance.str(),
                   secondsUntil(Refused->RetryAt, Now)});
    return;
  }
  startQueued(Instance, Now);
}

void group_runtime::startQueued(std::size_t Instance, base::time_point Now) {
  instance_state &State = *Instances[Instance];
  while (State.Running < State.Limit.limit() && State.Queue.size() > 0) {
    std::optional<groups::connection_number> Connection = State.Link.acquire();
    if (!Connection)
      break;
    std::optional<groups::queued_request> Next = State.Queue.pop(Now);
    request_task_ptr Task = Next ? findTask(Next->Id) : nullptr;
    if (!Task) {
      State.Link.release(*Connection, groups::connection_release_state::Clean,
                         Now);
      if (!Next)
        break;
      continue;
    }
    ++State.Running;
    Task->Connection = *Connection;
    std::vector<backend::statement> Statements;
    for (const groups::sql_statement &Statement : Task->NextStatements)
      Statements.push_back(toBackend(Statement));
    run(Task, std::move(Statements), Now);
  }
  State.Link.setDemand(State.Queue.size(), Now);
}

void group_runtime::run(const request_task_ptr &Task,
                        std::vector<backend::statement> Statements,
                        base::time_point Now) {
  Task->Stage = task_stage::Running;
  backend::run_id Run = Outputs.nextRun();
  Runs.emplace(Run, Task);
  bool Submitted = Outputs.submitToBackend(backend::run_statements{
      Task->Connection, Run, std::move(Statements), Task->Request.Deadline});
  if (Submitted)
    return;
  backend::run_finished Failed;
  Failed.Connection = Task->Connection;
  Failed.Run = Run;
  Failed.Failure = {std::make_error_code(std::errc::no_buffer_space),
                    "submit statements", "", ""};
  Failed.SentAt = Now;
  onRunFinished(Failed, Now);
}

void group_runtime::recordRunEnd(const request_task &Task,
                                 const backend::run_finished &Event,
                                 base::time_point Now) {
  instance_state &State = *Instances[Task.Instance];
  bool IsOverload = Event.Failure && Event.SqlState.empty();
  State.Limit.observe(Event.SentAt, Now, State.Running, IsOverload);
  if (!IsOverload) {
    base::duration Sample = Now - Event.SentAt;
    State.MeanService += (Sample - State.MeanService) / ServiceTimeSmoothing;
  }
  --State.Running;
}

void group_runtime::releaseConnection(request_task &Task,
                                      const backend::run_finished &Event,
                                      base::time_point Now) {
  recordRunEnd(Task, Event, Now);
  Instances[Task.Instance]->Link.release(Task.Connection,
                                         detail::releaseState(Event), Now);
  Task.Connection = 0;
}

void group_runtime::waitForInstance(const request_task_ptr &Task,
                                    base::time_point Until) {
  Task->Stage = task_stage::WaitingForInstance;
  Task->WakeAt = std::min(Until, Task->Request.Deadline);
  Waiting.emplace(Task->Id, Task);
}

void group_runtime::wakeWaiting(base::time_point Now) {
  std::vector<request_task_ptr> Due;
  for (const auto &[Id, Task] : Waiting)
    if (Task->WakeAt <= Now)
      Due.push_back(Task);
  for (const request_task_ptr &Task : Due) {
    Waiting.erase(Task->Id);
    if (Task->isRead())
      decideRead(Task, Now);
    else
      startWrite(Task, Now);
  }
}

void group_runtime::moveWritesFrom(std::size_t Instance, base::time_point Now) {
  std::vector<request_task_ptr> Moved;
  for (const auto &[Id, Task] : Tasks) {
    if (!Task->isRead() && Task->Stage == task_stage::Queued &&
        Task->Instance == Instance && Instances[Instance]->Queue.remove(Id))
      Moved.push_back(Task);
  }
  for (const request_task_ptr &Task : Moved)
    startWrite(Task, Now);
}

} // namespace radishrelay::daemon
