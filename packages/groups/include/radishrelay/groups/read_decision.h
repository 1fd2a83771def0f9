#ifndef RADISHRELAY_GROUPS_READ_DECISION_H
#define RADISHRELAY_GROUPS_READ_DECISION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/instance_status.h"

#include <system_error>
#include <variant>

namespace radishrelay::groups {

/// Run the read now.
struct run_read {
  base::instance_id Instance;
  instance_role Role = instance_role::Replica;
  /// The result may be returned only after a majority of the instances has been
  /// seen in the same term at or beyond the position of the read, as for a
  /// write. Only statuses requested after the read was sent count.
  bool NeedsConfirmation = false;
  /// Expected time to the answer, which ranks the instances. For a primary that
  /// can serve the read without confirmation it includes PrimarySurcharge.
  base::duration Cost{};

  friend bool operator==(const run_read &, const run_read &) = default;
};

/// Do not run the read yet: call read_router::choose() again at Until or when a
/// new status arrives. Instance is the replica that is expected to reach the
/// position by then, or empty when no instance is known to.
struct wait_for_position {
  base::instance_id Instance;
  base::time_point Until;

  friend bool operator==(const wait_for_position &,
                         const wait_for_position &) = default;
};

/// Refuse the read; it did not run.
struct refuse_read {
  std::error_code Code;

  friend bool operator==(const refuse_read &, const refuse_read &) = default;
};

using read_decision = std::variant<run_read, wait_for_position, refuse_read>;

} // namespace radishrelay::groups

#endif
