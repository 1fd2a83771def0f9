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

/// What an instance says of itself through group_status().
struct instance_status {
  instance_role Role = instance_role::Replica;
  /// Term of the last log entry and the offset after it.
  log_position Position;
  /// Highest term that the instance was raised to; it takes no log entry and
  /// commits no write of a lower term.
  term_number RaisedTerm = 0;
  /// First offset of each known term, in ascending order.
  std::vector<log_position> TermStarts;
  /// Age of the data that the instance itself can prove; empty if unknown.
  std::optional<base::duration> AppliedAge;

  friend bool operator==(const instance_status &,
                         const instance_status &) = default;
};

/// A status with the time at which it was asked for.
struct status_evidence {
  instance_status Status;
  base::time_point AskedAt;

  friend bool operator==(const status_evidence &,
                         const status_evidence &) = default;
};

/// Parses the text that group_status() returns. Fails with the step "parse
/// group status".
base::expected<instance_status> parseInstanceStatus(const std::string &Text);

/// Inverse of parseInstanceStatus.
std::string formatInstanceStatus(const instance_status &Status);

} // namespace radishrelay::groups

#endif
