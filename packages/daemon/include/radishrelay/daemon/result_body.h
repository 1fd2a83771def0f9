#ifndef RADISHRELAY_DAEMON_RESULT_BODY_H
#define RADISHRELAY_DAEMON_RESULT_BODY_H

#include "radishrelay/backend/statement.h"

#include <string>

namespace radishrelay::daemon {

/// Encodes a result as {"rows":[{column:value}],"affected":N}. Values are the
/// backend server's text representation, or null.
std::string resultBody(const backend::result_set &Result);

} // namespace radishrelay::daemon

#endif
