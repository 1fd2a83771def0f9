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

/// Runs one write with an idempotency key at most once.
///
/// The key, the effect of the statement and the answer are written in one
/// database transaction. Its uniqueness decides between concurrent requests on
/// different hosts. An attempt with unknown outcome is repeated: it either
/// finds the record of the first one or shows that there is none.
///
/// Each run_on_primary is answered by the method that belongs to the state.
class keyed_write {
public:
  enum class state { Idle, Claiming, Committing, LookingUp, Ended };

  /// The write is attempted at most \p MaxAttempts times, until \p Deadline.
  keyed_write(keyed_request Request, base::time_point Deadline,
              std::uint32_t MaxAttempts = 4);

  /// Begins the first attempt: BEGIN, insert, statement.
  keyed_write_action start(base::time_point Now);

  /// The claim ended; \p Answer is what the caller receives for the
  /// statement's result.
  keyed_write_action claimed(const attempt_end &End, const std::string &Answer,
                             base::time_point Now);

  /// The update and COMMIT ended; \p Position is that of the status that ran
  /// after COMMIT.
  keyed_write_action committed(const attempt_end &End,
                               const log_position &Position,
                               base::time_point Now);

  /// The look-up of a taken key ended with \p Record, if there is one, and the
  /// position of the status that ran after it.
  keyed_write_action lookedUp(const attempt_end &End,
                              const std::optional<request_record> &Record,
                              const log_position &Position,
                              base::time_point Now);

  [[nodiscard]] state current() const { return State; }
  [[nodiscard]] base::json dump() const;

private:
  keyed_write_action attempt(base::time_point Now);
  keyed_write_action retryOrFail(const attempt_end &End, ran_state Ran,
                                 base::time_point Now);
  keyed_write_action fail(std::error_code Code, ran_state RanNow,
                          const std::string &SqlState = {});

  keyed_request Request;
  base::time_point Deadline;
  std::uint32_t AttemptsLeft;
  state State = state::Idle;
  /// What the earlier attempts leave open.
  ran_state Ran = ran_state::No;
  std::string Answer;
};

} // namespace radishrelay::groups

#endif
