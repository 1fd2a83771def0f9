#ifndef RADISHRELAY_CLI_SRC_OPERATOR_COMMANDS_H
#define RADISHRELAY_CLI_SRC_OPERATOR_COMMANDS_H

#include "radishrelay/cli/command.h"

namespace radishrelay::cli {

exit_code runConfigShow(const std::vector<std::string> &Arguments,
                        const command_streams &Streams);
exit_code runConfigHistory(const std::vector<std::string> &Arguments,
                           const command_streams &Streams);
exit_code runConfigPatch(const std::vector<std::string> &Arguments,
                         const command_streams &Streams);
exit_code runState(const std::vector<std::string> &Arguments,
                   const command_streams &Streams);
exit_code runAudit(const std::vector<std::string> &Arguments,
                   const command_streams &Streams);
exit_code runDrain(const std::vector<std::string> &Arguments,
                   const command_streams &Streams);
exit_code runMetrics(const std::vector<std::string> &Arguments,
                     const command_streams &Streams);

} // namespace radishrelay::cli

#endif
