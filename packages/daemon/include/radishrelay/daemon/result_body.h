#ifndef RADISHRELAY_DAEMON_RESULT_BODY_H
#define RADISHRELAY_DAEMON_RESULT_BODY_H

#include "radishrelay/backend/statement.h"

#include <string>

namespace radishrelay::daemon {

/// Returns {"rows":[{column:value}],"affected":N}. Values are texts as the
/// backend server sent them, or null.
std::string resultBody(const backend::result_set &Result);

} // namespace radishrelay::daemon

#endif
