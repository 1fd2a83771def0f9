#include "radishrelay/daemon/group_runtime.h"

#include "run_outcome.h"

#include "radishrelay/groups/read_error.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/retry_policy.h"

namespace radishrelay::daemon {

namespace {

/// Maximum number of attempts of a read, including the first.
constexpr std::uint32_t MaxReadAttempts = 4;

/// Indices of the statements in the run of a read. The status runs first, so
/// that the read sees at least the log position that the status reports.
constexpr std::size_t ReadStatusIndex = 0;
constexpr std::size_t ReadResultIndex = 1;

problem readProblem(std::error_code Code, const request_task &Task,
                    const std::string &Group) {
  bool IsHistoryLost = Code == groups::read_error::HistoryLost;
  // A read has no effect that could be lost or repeated. Nevertheless ran=no is
  // reported only for requests of which no byte was sent.
  groups::ran_state Ran =
      Task.MayHaveRun ? groups::ran_state::Unknown : groups::ran_state::No;
  return {IsHistoryLost ? problem_code::SessionHistoryLost
                        : problem_code::NoFreshReplica,
          Ran,
          Code.message(),
          "choose instance",
          Group,
          IsHistoryLost ? 0 : 1};
}

} // namespace

void group_runtime::updateLoads() {
  for (const std::unique_ptr<instance_state> &Instance : Instances)
    Router.setLoad(Instance->Link.options().Instance,
                   Instance->Queue.size() + Instance->Running,
                   Instance->MeanService);
}

void group_runtime::decideRead(const request_task_ptr &Task,
                               base::time_point Now) {
  if (Task->NextStatements.empty()) {
    Task->NextStatements.push_back(groups::request_statements::groupStatus());
    Task->NextStatements.push_back(
        {Task->Request.Route->Statement, Task->Request.Parameters});
  }
  updateLoads();
  groups::read_decision Decision = Router.choose(Task->Read, Now);
  if (auto *Run = std::get_if<groups::run_read>(&Decision)) {
    std::optional<std::size_t> Index = indexOf(Run->Instance);
    Task->NeedsConfirmation = Run->NeedsConfirmation;
    enqueue(Task, Index.value_or(0), Now);
  } else if (auto *Wait = std::get_if<groups::wait_for_position>(&Decision)) {
    waitForInstance(Task, Wait->Until);
  } else {
    auto Refused = std::get<groups::refuse_read>(Decision);
    refuse(*Task, readProblem(Refused.Code, *Task, Options.Group.Id.str()));
  }
}

void group_runtime::finishRead(const request_task_ptr &Task,
                               const backend::run_finished &Event,
                               base::time_point Now) {
  releaseConnection(*Task, Event, Now);
  auto Evidence = detail::statusAt(Event, ReadStatusIndex);
  if (Evidence)
    observeStatus(Task->Instance, *Evidence, Now);
  groups::attempt_end End = detail::attemptEnd(Event);
  if (!End.Succeeded || !Evidence || Event.Results.size() <= ReadResultIndex) {
    retryRead(Task, End, Event, Now);
    return;
  }
  Task->ReadEvidence = *Evidence;
  Task->AnswerBody = resultBody(Event.Results[ReadResultIndex]);
  Task->AnswerPosition = Evidence->Status.Position;
  if (Task->NeedsConfirmation)
    awaitMajority(Task, Evidence->Status.Position, Now);
  else
    checkRead(Task, false, Now);
}

void group_runtime::checkRead(const request_task_ptr &Task, bool IsConfirmed,
                              base::time_point Now) {
  groups::read_verdict Verdict = Router.check(
      Task->Read, Instances[Task->Instance]->Link.options().Instance,
      Task->ReadEvidence, IsConfirmed, Now);
  if (auto *Accepted = std::get_if<groups::accept_result>(&Verdict)) {
    Task->SessionPosition = Accepted->Seen;
    succeed(*Task, std::nullopt);
  } else if (auto *Refused = std::get_if<groups::refuse_result>(&Verdict)) {
    refuse(*Task, readProblem(Refused->Code, *Task, Options.Group.Id.str()));
  } else {
    ++Task->Read.FailedChecks;
    decideRead(Task, Now);
  }
}

void group_runtime::retryRead(const request_task_ptr &Task,
                              const groups::attempt_end &End,
                              const backend::run_finished &Event,
                              base::time_point Now) {
  bool IsConnectionFailure = Event.SqlState.empty();
  if (IsConnectionFailure)
    Router.observeFailure(Instances[Task->Instance]->Link.options().Instance);
  ++Task->Attempts;
  constexpr groups::request_traits Read{true, false};
  bool MayTryAgain = groups::mayRetry(Read, End) || End.Succeeded;
  if (MayTryAgain && Task->Attempts < MaxReadAttempts &&
      Now < Task->Request.Deadline) {
    decideRead(Task, Now);
    return;
  }
  if (IsConnectionFailure)
    refuse(*Task, {problem_code::NoFreshReplica, groups::ran_state::Unknown,
                   Event.Failure.Code.message(), Event.Failure.Step,
                   Event.Failure.Peer, 1});
  else
    refuse(*Task, detail::statementProblem(Event, groups::ran_state::No));
}

} // namespace radishrelay::daemon
