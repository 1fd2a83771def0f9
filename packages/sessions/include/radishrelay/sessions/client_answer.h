#ifndef RADISHRELAY_SESSIONS_CLIENT_ANSWER_H
#define RADISHRELAY_SESSIONS_CLIENT_ANSWER_H

#include "radishrelay/sessions/refusal.h"
#include "radishrelay/sessions/session_phase.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::sessions {

/// The whole answer to one statement of a client.
struct client_answer {
  std::vector<std::string> Rows;
  /// The instance's receipt; empty when the proxy answered by itself.
  std::string Receipt;
  std::optional<refusal> Error;
  /// What happened, for a person.
  std::string ErrorText;
  session_phase Phase = session_phase::Idle;

  friend bool operator==(const client_answer &,
                         const client_answer &) = default;
};

} // namespace radishrelay::sessions

#endif
