#ifndef RADISHRELAY_DAEMON_STORE_CALL_NAME_H
#define RADISHRELAY_DAEMON_STORE_CALL_NAME_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/store_request.h"

#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Returns the name of a call to the tables in metrics: what it does and the
/// table, such as "write_members". Rows that differ share a name.
std::string storeCallName(const base::store_request &Request);
/// Returns the name of a read of \p Source in metrics. A read that waits for a
/// change is a watch.
std::string readCallName(std::string_view Source, base::duration Wait);

} // namespace radishrelay::daemon

#endif
