#ifndef RADISHRELAY_GROUPS_KEYED_WRITE_H
#define RADISHRELAY_GROUPS_KEYED_WRITE_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/keyed_request.h"
#include "radishrelay/groups/keyed_write_action.h"
#include "radishrelay/groups/request_record.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishrelay::groups {

/// State machine that runs one write with an idempotency key at most once.
///
/// The key, the effect of the statement and the answer are written in one
/// database transaction. The unique constraint on the key decides between
/// concurrent requests on different hosts. An attempt with an unknown outcome
/// is repeated: the new attempt either finds the record of the earlier one or
/// proves that the earlier one was not committed.
///
/// The caller executes each run_on_primary action and reports its result by
/// the method for the current state: claimEnded() for Claiming, commitEnded()
/// for Committing and lookupEnded() for LookingUp.
class keyed_write {
public:
  enum class state { Idle, Claiming, Committing, LookingUp, Ended };

  /// Attempts the write at most \p MaxAttempts times and starts no attempt
  /// after \p Deadline.
  keyed_write(keyed_request Request, base::time_point Deadline,
              std::uint32_t MaxAttempts = 4);

  /// Starts the first attempt: BEGIN, the insert that claims the key, and the
  /// statement of the request.
  keyed_write_action start(base::time_point Now);

  /// Reports the end of the run that claims the key and executes the statement.
  /// \p Answer is the response to the client for the result of the statement.
  keyed_write_action claimEnded(const attempt_end &End,
                                const std::string &Answer,
                                base::time_point Now);

  /// Reports the end of the run that records the answer and commits.
  /// \p Position is the log position from group_status(), which runs after
  /// COMMIT.
  keyed_write_action commitEnded(const attempt_end &End,
                                 const log_position &Position,
                                 base::time_point Now);

  /// Reports the end of the lookup of a key that was already claimed. \p Record
  /// is empty when the key has no record. \p Position is the log position from
  /// group_status(), which runs after the lookup.
  keyed_write_action lookupEnded(const attempt_end &End,
                                 const std::optional<request_record> &Record,
                                 const log_position &Position,
                                 base::time_point Now);

  [[nodiscard]] state current() const { return State; }
  [[nodiscard]] base::json dump() const;

private:
  keyed_write_action startAttempt(base::time_point Now);
  keyed_write_action retryOrFail(const attempt_end &End, ran_state Ran,
                                 base::time_point Now);
  keyed_write_action fail(std::error_code Code, ran_state AttemptRan,
                          const std::string &SqlState = {});

  keyed_request Request;
  base::time_point Deadline;
  std::uint32_t AttemptsLeft;
  state State = state::Idle;
  /// Whether the earlier attempts may have taken effect.
  ran_state Ran = ran_state::No;
  std::string Answer;
};

} // namespace radishrelay::groups

#endif
