#ifndef RADISHRELAY_SESSIONS_SRC_PROMOTION_PERIODS_H
#define RADISHRELAY_SESSIONS_SRC_PROMOTION_PERIODS_H

#include "radishrelay/base/monotonic_clock.h"

namespace radishrelay::sessions::detail {

/// Time to wait for an answer of the store.
constexpr base::duration StoreTimeout = std::chrono::milliseconds(1000);
/// Time between repeated fence or status calls: some round trips.
constexpr base::duration CallInterval = std::chrono::milliseconds(80);
/// Time from the start of an instance until it is listed: an interval of its
/// reports and the delay of the list.
constexpr base::duration JoinPeriod = std::chrono::milliseconds(1300);
/// Minimum delay after an attempt; a random delay of up to the same length is
/// added after a failed one.
constexpr base::duration RetryDelay = std::chrono::milliseconds(300);

} // namespace radishrelay::sessions::detail

#endif
