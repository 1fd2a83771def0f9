#ifndef RADISHRELAY_GROUPS_ATTEMPT_END_H
#define RADISHRELAY_GROUPS_ATTEMPT_END_H

#include <string>

namespace radishrelay::groups {

/// How one run of statements on a backend connection ended.
struct attempt_end {
  /// All statements succeeded.
  bool Succeeded = false;
  /// A byte of the run may have reached the backend server.
  bool MayHaveReached = false;
  /// SQLSTATE of an error that the backend server reported, else empty.
  std::string SqlState;
  /// Number of statements that succeeded before the error.
  std::size_t SucceededCount = 0;

  friend bool operator==(const attempt_end &, const attempt_end &) = default;
};

} // namespace radishrelay::groups

#endif
