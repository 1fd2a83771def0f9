#ifndef RADISHRELAY_GROUPS_INSTANCE_STATUS_H
#define RADISHRELAY_GROUPS_INSTANCE_STATUS_H

#include "radishrelay/base/expected.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::groups {

enum class instance_role { Primary, Replica };

/// State that an instance reports about itself through group_status().
struct instance_status {
  instance_role Role = instance_role::Replica;
  /// Term of the instance's log and the offset after its last entry. Use
  /// lastEntry to compare logs.
  log_position Position;
  /// Highest term to which the instance has been raised. It accepts no log
  /// entries and commits no writes of a lower term.
  term_number RaisedTerm = 0;
  /// Start of each known term: the number of log entries before it. In
  /// ascending order.
  std::vector<log_position> TermStarts;
  /// Upper bound of the age of the instance's data, as far as the instance
  /// itself can prove it; empty if unknown.
  std::optional<base::duration> AppliedAge;

  friend bool operator==(const instance_status &,
                         const instance_status &) = default;
};

/// A status of an instance with the time at which it was requested. What the
/// status says held at some time after the request.
struct status_evidence {
  instance_status Status;
  base::time_point AskedAt;

  friend bool operator==(const status_evidence &,
                         const status_evidence &) = default;
};

/// Parses the text that group_status() returns. The failure of a malformed text
/// has the step "parse group status".
base::expected<instance_status> parseInstanceStatus(const std::string &Text);

/// Formats \p Status as the text that group_status() returns.
std::string formatInstanceStatus(const instance_status &Status);

} // namespace radishrelay::groups

#endif
