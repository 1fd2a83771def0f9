#ifndef RADISHRELAY_DAEMON_START_RETRY_H
#define RADISHRELAY_DAEMON_START_RETRY_H

#include "radishrelay/base/monotonic_clock.h"

#include <functional>

namespace radishrelay::daemon {

/// Time after which a start gives up on an address that is in use. Longer than
/// TIME_WAIT, for which a closed connection of another program may hold a port.
constexpr base::duration AddressInUseTimeout = std::chrono::seconds(70);
/// Delay between two attempts, short compared with the restart of a process.
constexpr base::duration AddressRetryDelay = std::chrono::milliseconds(100);

/// Calls \p Start, and calls it again while it throws Poco::Net::NetException
/// for an address in use. Rethrows the exception at \p Deadline, as any other
/// one at once. \p Wait delays the next attempt; it returns false if the start
/// is no longer wanted. Returns whether \p Start succeeded.
bool startWhenAddressesAreFree(const std::function<void()> &Start,
                               const std::function<bool(base::duration)> &Wait,
                               base::time_point Deadline);

} // namespace radishrelay::daemon

#endif
