#ifndef RADISHRELAY_CLI_SRC_LOAD_COMMAND_H
#define RADISHRELAY_CLI_SRC_LOAD_COMMAND_H

#include "radishrelay/cli/command.h"

namespace radishrelay::cli {

/// Sends load to daemons and checks their promises. Fails when a promise was
/// broken.
exit_code runLoad(const std::vector<std::string> &Arguments,
                  const command_streams &Streams);

} // namespace radishrelay::cli

#endif
