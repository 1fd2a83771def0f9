#include "radishrelay/groups/keyed_write.h"

#include "radishrelay/groups/request_error.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/retry_policy.h"

#include <array>
#include <utility>

namespace radishrelay::groups {

namespace {

constexpr std::string_view UniqueViolation = "23505";
/// Index of the insert among the statements BEGIN, insert, statement.
constexpr std::size_t InsertIndex = 1;

} // namespace

keyed_write::keyed_write(keyed_request Request, base::time_point Deadline,
                         std::uint32_t MaxAttempts)
    : Request(std::move(Request)), Deadline(Deadline),
      AttemptsLeft(MaxAttempts) {}

keyed_write_action keyed_write::start(base::time_point Now) {
  return startAttempt(Now);
}

keyed_write_action keyed_write::startAttempt(base::time_point Now) {
  if (AttemptsLeft == 0 || Now >= Deadline)
    return fail(request_error::NotSent, ran_state::No);
  --AttemptsLeft;
  State = state::Claiming;
  return run_on_primary{{request_statements::begin(),
                         request_statements::insert(Request),
                         Request.Statement},
                        true};
}

keyed_write_action keyed_write::claimEnded(const attempt_end &End,
                                           const std::string &StatementAnswer,
                                           base::time_point Now) {
  if (End.Succeeded) {
    State = state::Committing;
    Answer = StatementAnswer;
    return run_on_primary{{request_statements::recordAnswer(Request, Answer),
                           request_statements::commit(),
                           request_statements::groupStatus()},
                          false};
  }
  if (End.SqlState == UniqueViolation && End.SucceededCount == InsertIndex) {
    State = state::LookingUp;
    return run_on_primary{{request_statements::rollback(),
                           request_statements::select(Request),
                           request_statements::groupStatus()},
                          false};
  }
  // COMMIT was not sent, so the transaction cannot have taken effect.
  return retryOrFail(End, ran_state::No, Now);
}

keyed_write_action keyed_write::commitEnded(const attempt_end &End,
                                            const log_position &Position,
                                            base::time_point Now) {
  if (End.Succeeded) {
    State = state::Ended;
    return answer_when_acknowledged{Answer, Position, false};
  }
  // COMMIT may have succeeded and only the status query after it failed.
  constexpr std::size_t CommitStatementCount = 2;
  bool IsCommitted = End.SucceededCount >= CommitStatementCount;
  attempt_end Rest = End;
  if (IsCommitted)
    Rest.SqlState.clear();
  return retryOrFail(Rest, IsCommitted ? ran_state::Yes : ranAfter(End), Now);
}

keyed_write_action
keyed_write::lookupEnded(const attempt_end &End,
                         const std::optional<request_record> &Record,
                         const log_position &Position, base::time_point Now) {
  if (!End.Succeeded)
    return retryOrFail(End, ran_state::No, Now);
  // The request that had claimed the key rolled back, or its record was purged.
  if (!Record)
    return startAttempt(Now);
  if (Record->Route != Request.Route ||
      Record->BodyDigest != Request.BodyDigest)
    return fail(request_error::KeyReused, ran_state::No);
  State = state::Ended;
  return answer_when_acknowledged{Record->Answer, Position, true};
}

keyed_write_action keyed_write::retryOrFail(const attempt_end &End,
                                            ran_state AttemptRan,
                                            base::time_point Now) {
  Ran = combine(Ran, AttemptRan);
  bool CanRetry = mayRetry({false, true}, End) && AttemptsLeft > 0;
  if (CanRetry && Now < Deadline)
    return startAttempt(Now);
  if (isNotPrimary(End.SqlState))
    return fail(request_error::NotPrimary, ran_state::No, End.SqlState);
  if (isDefiniteRollback(End.SqlState))
    return fail(request_error::StatementFailed, ran_state::No, End.SqlState);
  return fail(Ran == ran_state::No ? request_error::NotSent
                                   : request_error::OutcomeUnknown,
              ran_state::No);
}

keyed_write_action keyed_write::fail(std::error_code Code, ran_state AttemptRan,
                                     const std::string &SqlState) {
  State = state::Ended;
  Ran = combine(Ran, AttemptRan);
  if (Ran != ran_state::No)
    Code = request_error::OutcomeUnknown;
  return fail_request{Code, Ran, SqlState};
}

base::json keyed_write::dump() const {
  constexpr std::array<const char *, 5> Names{"idle", "claiming", "committing",
                                              "looking_up", "ended"};
  base::json Dump = base::json::object();
  Dump["account"] = Request.Account.str();
  Dump["route"] = Request.Route;
  Dump["state"] = Names.at(static_cast<std::size_t>(State));
  Dump["attempts_left"] = AttemptsLeft;
  Dump["deadline_us"] = base::toMicroseconds(Deadline);
  Dump["ran"] = toString(Ran);
  return Dump;
}

} // namespace radishrelay::groups
