#ifndef RADISHRELAY_CLI_SRC_SECRET_COMMANDS_H
#define RADISHRELAY_CLI_SRC_SECRET_COMMANDS_H

#include "radishrelay/cli/command.h"

namespace radishrelay::cli {

exit_code runKeyNew(const std::vector<std::string> &Arguments,
                    const command_streams &Streams);
exit_code runTokenNew(const std::vector<std::string> &Arguments,
                      const command_streams &Streams);

} // namespace radishrelay::cli

#endif
