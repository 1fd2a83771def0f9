#ifndef RADISHRELAY_GROUPS_STORE_CALL_H
#define RADISHRELAY_GROUPS_STORE_CALL_H

#include "radishrelay/base/store_request.h"

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::groups {

/// Number of a call to the table service; unique within the state machine that
/// makes the call.
using store_call_id = std::uint64_t;

/// Action: send a request to the platform's table service (the store).
struct store_call {
  store_call_id Id = 0;
  base::store_request Request;
  base::time_point Deadline;

  friend bool operator==(const store_call &, const store_call &) = default;
};

} // namespace radishrelay::groups

#endif
