#ifndef RADISHRELAY_GROUPS_QUEUED_REQUEST_H
#define RADISHRELAY_GROUPS_QUEUED_REQUEST_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>

namespace radishrelay::groups {

/// A request that waits in a fair_queue for a connection.
struct queued_request {
  /// Unique; assigned by the caller of the queue.
  std::uint64_t Id = 0;
  base::account_id Account;
  /// Expected service time.
  base::duration Cost{};
  base::time_point Deadline;

  friend bool operator==(const queued_request &,
                         const queued_request &) = default;
};

} // namespace radishrelay::groups

#endif
