#ifndef RADISHRELAY_SESSIONS_CLIENT_MESSAGE_H
#define RADISHRELAY_SESSIONS_CLIENT_MESSAGE_H

#include "radishrelay/sessions/statement.h"

#include <string>
#include <variant>

namespace radishrelay::sessions {

/// Opens a session.
struct start_session {
  std::string Database;
  /// Client key. Empty when the client sent none.
  std::string Key;

  friend bool operator==(const start_session &,
                         const start_session &) = default;
};

/// Runs one statement.
struct run_statement {
  /// Identifier that the client chose for the statement.
  std::string Id;
  statement Statement;

  friend bool operator==(const run_statement &,
                         const run_statement &) = default;
};

/// Ends the session.
struct end_session {
  friend bool operator==(const end_session &, const end_session &) = default;
};

/// A message that violates the protocol. The engine closes the connection.
struct malformed_message {
  friend bool operator==(const malformed_message &,
                         const malformed_message &) = default;
};

using client_message =
    std::variant<start_session, run_statement, end_session, malformed_message>;

} // namespace radishrelay::sessions

#endif
