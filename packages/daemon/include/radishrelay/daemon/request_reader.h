#ifndef RADISHRELAY_DAEMON_REQUEST_READER_H
#define RADISHRELAY_DAEMON_REQUEST_READER_H

#include "radishrelay/daemon/caller_request.h"

#include <variant>

namespace radishrelay::daemon {

/// Bounds of the header Radishrelay-Timeout, in milliseconds.
inline constexpr std::int64_t DefaultTimeoutMilliseconds = 5000;
inline constexpr std::int64_t MaxTimeoutMilliseconds = 60000;

/// Checks an HTTP request against the configuration: path, key, headers and
/// parameters. Nothing has run when it returns a problem.
std::variant<caller_request, problem>
readCallerRequest(const http_request &Request, const service_view_ptr &View,
                  base::time_point Now);

} // namespace radishrelay::daemon

#endif
