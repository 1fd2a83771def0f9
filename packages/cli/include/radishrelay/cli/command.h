#ifndef RADISHRELAY_CLI_COMMAND_H
#define RADISHRELAY_CLI_COMMAND_H

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::cli {

/// Exit codes of the program.
enum class exit_code : int {
  Success = 0,
  /// The command was understood but failed or was refused.
  Failed = 1,
  /// The command line or a file given on it is wrong.
  Usage = 2,
};

/// Where a command writes.
struct command_streams {
  std::ostream &Out;
  std::ostream &Error;
};

/// A command of the program "radishrelay".
struct command {
  /// One or two words, for example "config show".
  std::string_view Name;
  std::string_view Summary;
  exit_code (*Run)(const std::vector<std::string> &Arguments,
                   const command_streams &Streams);
};

/// All commands in the order of the help text.
const std::vector<command> &allCommands();

/// Runs the command that the arguments name; \p Arguments has no program name.
exit_code runCommandLine(const std::vector<std::string> &Arguments,
                         const command_streams &Streams);

} // namespace radishrelay::cli

#endif
