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
  /// The result may be returned only after a majority has been seen under the
  /// same term at or beyond the read's position, as for a write, by evidence
  /// asked for after the read was sent.
  bool NeedsConfirmation = false;
  /// Expected time to the answer.
  base::duration Cost{};

  friend bool operator==(const run_read &, const run_read &) = default;
};

/// Decide again at \p Until or when new evidence arrives.
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
