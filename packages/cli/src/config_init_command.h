#ifndef RADISHRELAY_CLI_SRC_CONFIG_INIT_COMMAND_H
#define RADISHRELAY_CLI_SRC_CONFIG_INIT_COMMAND_H

#include "radishrelay/cli/command.h"

namespace radishrelay::cli {

exit_code runConfigInit(const std::vector<std::string> &Arguments,
                        const command_streams &Streams);

} // namespace radishrelay::cli

#endif
