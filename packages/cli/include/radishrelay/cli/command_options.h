#ifndef RADISHRELAY_CLI_COMMAND_OPTIONS_H
#define RADISHRELAY_CLI_COMMAND_OPTIONS_H

#include "radishrelay/cli/command.h"

#include <boost/program_options.hpp>

#include <optional>

namespace radishrelay::cli {

/// Parses the arguments of one command. Returns nothing after it has written
/// the help text or an error; \p Code then holds the exit code.
std::optional<boost::program_options::variables_map>
parseOptions(const boost::program_options::options_description &Options,
             const std::vector<std::string> &Arguments,
             const command_streams &Streams, exit_code &Code);

} // namespace radishrelay::cli

#endif
