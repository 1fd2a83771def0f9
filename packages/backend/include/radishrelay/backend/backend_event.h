#ifndef RADISHRELAY_BACKEND_BACKEND_EVENT_H
#define RADISHRELAY_BACKEND_BACKEND_EVENT_H

#include "radishrelay/backend/backend_command.h"
#include "radishrelay/base/failure.h"

#include <string>
#include <variant>
#include <vector>

namespace radishrelay::backend {

/// The connection is ready for statements.
struct connection_opened {
  connection_id Connection = 0;
};

/// The connection could not be opened or has ended. A run that it had is
/// finished first.
struct connection_closed {
  connection_id Connection = 0;
  base::failure Failure;
};

/// The end of a run.
struct run_finished {
  connection_id Connection = 0;
  run_id Run = 0;
  /// One per statement that succeeded, in order.
  std::vector<result_set> Results;
  /// No code when all statements succeeded. An error that the backend server
  /// reported has Detail "SQLSTATE: message" and leaves the connection usable.
  base::failure Failure;
  /// SQLSTATE of an error that the backend server reported, else empty.
  std::string SqlState;
  /// True when a byte of the run may have reached the backend server.
  bool MayHaveReached = false;
  /// True when the connection is inside a transaction block after the run.
  bool InTransaction = false;
  /// When the run was sent; evidence in its results is dated by it.
  base::time_point SentAt;
};

/// What the backend thread tells the decision thread.
using backend_event =
    std::variant<connection_opened, connection_closed, run_finished>;

} // namespace radishrelay::backend

#endif
