#ifndef RADISHRELAY_GROUPS_READ_REQUEST_H
#define RADISHRELAY_GROUPS_READ_REQUEST_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/position_requirement.h"

#include <cstdint>
#include <optional>

namespace radishrelay::groups {

/// What a read requires of the instance that runs it.
struct read_request {
  position_requirement Required;
  /// Maximum age of the data, if the route declares one.
  std::optional<base::duration> MaxAge;
  base::time_point Deadline;
  /// Instance that must not be chosen because it runs the other copy of a
  /// hedged read.
  std::optional<base::instance_id> Excluded;
  /// Number of runs so far whose data was not fresh enough.
  std::uint32_t FailedChecks = 0;

  friend bool operator==(const read_request &, const read_request &) = default;
};

} // namespace radishrelay::groups

#endif
