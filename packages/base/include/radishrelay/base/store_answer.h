#ifndef RADISHRELAY_BASE_STORE_ANSWER_H
#define RADISHRELAY_BASE_STORE_ANSWER_H

#include "radishrelay/base/failure.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_request.h"

namespace radishrelay::base {

/// Outcome of a request to the table service.
enum class store_outcome {
  /// The rows were read, or the transaction was applied.
  Done,
  /// A condition of the transaction did not hold and nothing was written. The
  /// answer contains the rows whose versions differ.
  Conflict,
  /// The request certainly had no effect, for example because the connection
  /// was refused.
  NotDone,
  /// No valid answer arrived; a transaction may have been applied.
  Unknown,
};

/// The answer to a store_request.
struct store_answer {
  store_outcome Outcome = store_outcome::Unknown;
  /// The rows read, or on a conflict the rows whose versions differ from the
  /// conditions.
  std::vector<table_row> Rows;
  /// Version that a transaction gave to the rows it wrote.
  row_version Version = 0;
  /// When the request was sent. Evidence and leases are dated from this time,
  /// not from the arrival of the answer.
  time_point SentAt;
  failure Failure;

  friend bool operator==(const store_answer &, const store_answer &) = default;
};

} // namespace radishrelay::base

#endif
