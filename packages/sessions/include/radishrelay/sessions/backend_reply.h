#ifndef RADISHRELAY_SESSIONS_BACKEND_REPLY_H
#define RADISHRELAY_SESSIONS_BACKEND_REPLY_H

#include "radishrelay/groups/log_position.h"
#include "radishrelay/sessions/instance_status.h"
#include "radishrelay/sessions/refusal.h"
#include "radishrelay/sessions/session_phase.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions {

/// The complete answer of an instance to one request.
struct backend_reply {
  std::vector<std::string> Rows;
  /// Whether the instance has reported the outcome: a result or an error.
  bool HasOutcome = false;
  /// The instance's receipt for a statement that it ran for a client. Empty
  /// when Error is set, and in answers to other requests.
  std::string Receipt;
  std::optional<refusal> Error;
  std::string ErrorText;
  /// Whether the answer violates the protocol. Error is set too.
  bool IsUnreadable = false;
  session_phase Phase = session_phase::Idle;
  /// End of the instance's log when it answered.
  std::optional<groups::log_position> Position;
  /// The instance's status. Set in answers to Status, Fence, Demote and
  /// Unfence.
  std::optional<instance_status> Condition;

  friend bool operator==(const backend_reply &,
                         const backend_reply &) = default;
};

} // namespace radishrelay::sessions

#endif
