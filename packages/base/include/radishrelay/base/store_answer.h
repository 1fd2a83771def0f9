#ifndef RADISHRELAY_BASE_STORE_ANSWER_H
#define RADISHRELAY_BASE_STORE_ANSWER_H

#include "radishrelay/base/failure.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_request.h"

namespace radishrelay::base {

/// How a request to the table service ended.
enum class store_outcome {
  /// The rows were read, or the transaction took effect.
  Done,
  /// A condition did not hold; nothing was written; the answer holds the rows
  /// that differ.
  Conflict,
  /// Certain not to have taken effect, for example a refused connection.
  NotDone,
  /// The answer was lost; a transaction may have taken effect.
  Unknown,
};

/// The answer to a store_request.
struct store_answer {
  store_outcome Outcome = store_outcome::Unknown;
  /// The rows read, or the rows that differ from the conditions.
  std::vector<table_row> Rows;
  /// Version of the rows written by a transaction.
  row_version Version = 0;
  /// When the request was sent; evidence and leases are dated by it.
  time_point SentAt;
  failure Failure;

  friend bool operator==(const store_answer &, const store_answer &) = default;
};

} // namespace radishrelay::base

#endif
