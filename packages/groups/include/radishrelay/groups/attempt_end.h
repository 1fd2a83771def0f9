#ifndef RADISHRELAY_GROUPS_ATTEMPT_END_H
#define RADISHRELAY_GROUPS_ATTEMPT_END_H

#include <string>

namespace radishrelay::groups {

/// Result of one attempt to run a request's statements on a backend connection.
/// The retry policy decides from it whether the request may be sent again.
struct attempt_end {
  /// True when all statements succeeded.
  bool Succeeded = false;
  /// True when at least one byte of the attempt may have reached the backend
  /// server.
  bool MayHaveReached = false;
  /// SQLSTATE of the error that the backend server reported; empty if none.
  std::string SqlState;
  /// Number of statements that succeeded before the error.
  std::size_t SucceededCount = 0;

  friend bool operator==(const attempt_end &, const attempt_end &) = default;
};

} // namespace radishrelay::groups

#endif
