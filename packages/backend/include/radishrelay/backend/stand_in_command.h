#ifndef RADISHRELAY_BACKEND_STAND_IN_COMMAND_H
#define RADISHRELAY_BACKEND_STAND_IN_COMMAND_H

#include "radishrelay/backend/stand_in_group.h"
#include "radishrelay/base/expected.h"

#include <string>
#include <string_view>

namespace radishrelay::backend {

/// Runs one line of text on a group: "kill I", "revive I", "cut I", "join I",
/// "silence I", "lose-answer I", "delay I MS", "lag I MS", "service-time I MS"
/// or "status", where I is the number of an instance from 0. Returns the JSON
/// text of the reports for "status", else an empty text. Fails with
/// std::errc::invalid_argument at the step "parse command".
base::expected<std::string> runStandInCommand(stand_in_group &Group,
                                              std::string_view Line);

} // namespace radishrelay::backend

#endif
