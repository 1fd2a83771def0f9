#ifndef RADISHRELAY_SESSIONS_CLIENT_ANSWER_H
#define RADISHRELAY_SESSIONS_CLIENT_ANSWER_H

#include "radishrelay/sessions/refusal.h"
#include "radishrelay/sessions/session_phase.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions {

/// The complete answer to one statement of a client.
struct client_answer {
  std::vector<std::string> Rows;
  /// The instance's receipt. Empty when the proxy answered without an instance
  /// or when Error is set.
  std::string Receipt;
  std::optional<refusal> Error;
  /// Human-readable description of the error.
  std::string ErrorText;
  /// State of the session after the statement.
  session_phase Phase = session_phase::Idle;

  friend bool operator==(const client_answer &,
                         const client_answer &) = default;
};

} // namespace radishrelay::sessions

#endif
