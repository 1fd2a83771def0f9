#ifndef RADISHRELAY_SESSIONS_CLIENT_MESSAGE_H
#define RADISHRELAY_SESSIONS_CLIENT_MESSAGE_H

#include "radishrelay/sessions/statement.h"

#include <string>
#include <variant>

namespace radishrelay::sessions {

/// Opens a session.
struct start_session {
  std::string Database;
  /// Empty when the client sent none.
  std::string Key;

  friend bool operator==(const start_session &,
                         const start_session &) = default;
};

/// Runs one statement.
struct run_statement {
  std::string Id;
  statement Statement;

  friend bool operator==(const run_statement &,
                         const run_statement &) = default;
};

/// Ends the session.
struct end_session {
  friend bool operator==(const end_session &, const end_session &) = default;
};

/// A message that cannot be read; the connection is closed.
struct unreadable_message {
  friend bool operator==(const unreadable_message &,
                         const unreadable_message &) = default;
};

using client_message =
    std::variant<start_session, run_statement, end_session, unreadable_message>;

} // namespace radishrelay::sessions

#endif
