#ifndef RADISHRELAY_CLI_SRC_REQUEST_RECORD_H
#define RADISHRELAY_CLI_SRC_REQUEST_RECORD_H

#include "planned_request.h"

#include "radishrelay/groups/ran_state.h"

#include <string>

namespace radishrelay::cli {

/// One request of a run with its answer. Times count from the run's start.
struct request_record {
  planned_request Plan;
  base::duration Sent{};
  base::duration Done{};
  /// HTTP status; 0 when no answer came.
  int Status = 0;
  /// Code of the problem details, or of a failed connection; empty on success.
  std::string Code;
  groups::ran_state Ran = groups::ran_state::Unknown;
  /// Value of Radishrelay-Served-By.
  std::string ServedBy;
  /// Value sent to be returned; unique, and the row's id of a write.
  std::string Id;
  /// Value returned as \c Id.
  std::string Echo;
  /// Read: row of an acknowledged write of the session; empty before one.
  std::string Subject;
  /// Read: rows found of \c Subject.
  std::int64_t Found = 0;

  friend bool operator==(const request_record &,
                         const request_record &) = default;
};

inline bool succeeded(const request_record &Record) {
  constexpr int FirstError = 300;
  return Record.Status >= 200 && Record.Status < FirstError;
}

} // namespace radishrelay::cli

#endif
