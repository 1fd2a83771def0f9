#ifndef RADISHRELAY_GROUPS_KEYED_WRITE_ACTION_H
#define RADISHRELAY_GROUPS_KEYED_WRITE_ACTION_H

#include "radishrelay/groups/log_position.h"
#include "radishrelay/groups/ran_state.h"
#include "radishrelay/groups/sql_statement.h"

#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace radishrelay::groups {

/// Run these statements in one pipeline on the primary. A new attempt starts on
/// any clean connection; its further runs use the same connection.
struct run_on_primary {
  std::vector<sql_statement> Statements;
  bool IsNewAttempt = false;

  friend bool operator==(const run_on_primary &,
                         const run_on_primary &) = default;
};

/// Return the answer to the client once the log up to Position is acknowledged,
/// as for any write.
struct answer_when_acknowledged {
  std::string Answer;
  log_position Position;
  /// True when the answer was recorded by an earlier request with the same key.
  bool IsRepeated = false;

  friend bool operator==(const answer_when_acknowledged &,
                         const answer_when_acknowledged &) = default;
};

/// Report an error to the client.
struct fail_request {
  std::error_code Code;
  ran_state Ran = ran_state::Unknown;
  /// SQLSTATE of the error that the backend server reported, else empty.
  std::string SqlState;

  friend bool operator==(const fail_request &, const fail_request &) = default;
};

using keyed_write_action =
    std::variant<run_on_primary, answer_when_acknowledged, fail_request>;

} // namespace radishrelay::groups

#endif
