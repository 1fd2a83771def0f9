#ifndef RADISHRELAY_CLI_SRC_STAND_IN_COMMANDS_H
#define RADISHRELAY_CLI_SRC_STAND_IN_COMMANDS_H

#include "radishrelay/cli/command.h"

namespace radishrelay::cli {

exit_code runStandInPlatform(const std::vector<std::string> &Arguments,
                             const command_streams &Streams);
exit_code runStandInDatabase(const std::vector<std::string> &Arguments,
                             const command_streams &Streams);

} // namespace radishrelay::cli

#endif
