#include "run_outcome.h"

namespace radishrelay::daemon::detail {

groups::attempt_end attemptEnd(const backend::run_finished &Event) {
  groups::attempt_end End;
  End.Succeeded = !Event.Failure;
  End.MayHaveReached = Event.MayHaveReached;
  End.SqlState = Event.SqlState;
  End.SucceededCount = Event.Results.size();
  return End;
}

groups::connection_release_state
releaseState(const backend::run_finished &Event) {
  bool HasAnswer = !Event.Failure || !Event.SqlState.empty();
  if (!HasAnswer)
    return groups::connection_release_state::Uncertain;
  return Event.InTransaction ? groups::connection_release_state::InTransaction
                             : groups::connection_release_state::Clean;
}

std::optional<groups::status_evidence>
statusAt(const backend::run_finished &Event, std::size_t Index) {
  if (Event.Results.size() <= Index || Event.Results[Index].Rows.empty())
    return std::nullopt;
  const auto &Row = Event.Results[Index].Rows[0];
  if (Row.empty() || !Row[0])
    return std::nullopt;
  auto Status = groups::parseInstanceStatus(*Row[0]);
  if (!Status)
    return std::nullopt;
  return groups::status_evidence{std::move(*Status), Event.SentAt};
}

problem statementProblem(const backend::run_finished &Event,
                         groups::ran_state Ran) {
  return {problem_code::StatementFailed,
          Ran,
          Event.Failure.Detail,
          Event.Failure.Step,
          Event.Failure.Peer,
          0};
}

problem outcomeUnknownProblem(const std::string &Detail,
                              const std::string &Step,
                              const std::string &Peer) {
  return {problem_code::OutcomeUnknown,
          groups::ran_state::Unknown,
          Detail,
          Step,
          Peer,
          0};
}

} // namespace radishrelay::daemon::detail
