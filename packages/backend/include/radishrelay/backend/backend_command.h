#ifndef RADISHRELAY_BACKEND_BACKEND_COMMAND_H
#define RADISHRELAY_BACKEND_BACKEND_COMMAND_H

#include "radishrelay/backend/statement.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishrelay::backend {

/// Chosen by the sender of open_connection, never used twice in a process.
using connection_id = std::uint64_t;
/// Chosen by the sender of run_statements, never used twice in a process.
using run_id = std::uint64_t;

/// Opens a connection; answered by connection_opened or connection_closed.
struct open_connection {
  connection_id Connection = 0;
  /// "IP:PORT" of the backend server.
  std::string Address;
  std::string Database;
  base::time_point Deadline;
};

/// Runs statements in order on an open connection that runs nothing else, in
/// one pipeline; after an error the rest is skipped. Answered by exactly one
/// run_finished. When the deadline passes the run ends with the error
/// TimedOut and the connection is closed, since late answers could be taken
/// for those of another run.
struct run_statements {
  connection_id Connection = 0;
  run_id Run = 0;
  std::vector<statement> Statements;
  base::time_point Deadline;
};

/// Closes a connection, also while it runs statements.
struct close_connection {
  connection_id Connection = 0;
};

/// What the decision thread asks of the backend thread.
using backend_command =
    std::variant<open_connection, run_statements, close_connection>;

} // namespace radishrelay::backend

#endif
