#ifndef RADISHRELAY_DAEMON_REQUEST_READER_H
#define RADISHRELAY_DAEMON_REQUEST_READER_H

#include "radishrelay/daemon/caller_request.h"

#include <variant>

namespace radishrelay::daemon {

/// Default and maximum of the header Radishrelay-Timeout.
inline constexpr std::int64_t DefaultTimeoutMilliseconds = 5000;
inline constexpr std::int64_t MaxTimeoutMilliseconds = 60000;

/// Parses an HTTP request and validates its path, key, headers and parameters
/// against the configuration. A returned problem always says "not run".
std::variant<caller_request, problem>
readCallerRequest(const http_request &Request, const service_view_ptr &View,
                  base::time_point Now);

} // namespace radishrelay::daemon

#endif
