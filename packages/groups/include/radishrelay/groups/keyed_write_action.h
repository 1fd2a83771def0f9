#ifndef RADISHRELAY_GROUPS_KEYED_WRITE_ACTION_H
#define RADISHRELAY_GROUPS_KEYED_WRITE_ACTION_H

#include "radishrelay/groups/log_position.h"
#include "radishrelay/groups/planned_statement.h"
#include "radishrelay/groups/ran_state.h"

#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace radishrelay::groups {

/// Run these statements in one pipeline on the primary. The first run of an
/// attempt starts on any clean connection; the others continue on the same.
struct run_on_primary {
  std::vector<planned_statement> Statements;
  bool IsNewAttempt = false;

  friend bool operator==(const run_on_primary &,
                         const run_on_primary &) = default;
};

/// Return the answer once \p Position is acknowledged like that of a write.
struct answer_when_acknowledged {
  std::string Answer;
  log_position Position;
  /// True when the answer is the recorded one of an earlier request.
  bool IsRepeated = false;

  friend bool operator==(const answer_when_acknowledged &,
                         const answer_when_acknowledged &) = default;
};

/// The request ends with an error.
struct fail_request {
  std::error_code Code;
  ran_state Ran = ran_state::Unknown;
  /// SQLSTATE of the statement's error, else empty.
  std::string SqlState;

  friend bool operator==(const fail_request &, const fail_request &) = default;
};

using keyed_write_action =
    std::variant<run_on_primary, answer_when_acknowledged, fail_request>;

} // namespace radishrelay::groups

#endif
