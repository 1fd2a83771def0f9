#include "radishrelay/cli/command.h"

#include "config_init_command.h"
#include "load_command.h"
#include "operator_commands.h"
#include "secret_commands.h"
#include "stand_in_commands.h"

#include <algorithm>

namespace radishrelay::cli {

namespace {

constexpr std::string_view Version = "radishrelay 0.1.0";

void printHelp(std::ostream &Out) {
  Out << "usage: radishrelay COMMAND [OPTIONS]\n\n";
  for (const command &Command : allCommands()) {
    std::string Name(Command.Name);
    constexpr std::size_t NameWidth = 20;
    Name.resize(std::max(NameWidth, Name.size() + 1), ' ');
    Out << "  " << Name << Command.Summary << "\n";
  }
  Out << "\n\"radishrelay COMMAND --help\" shows the options of a command.\n";
}

/// Number of leading arguments that make up the command's name, or 0.
std::size_t matchedWords(const command &Command,
                         const std::vector<std::string> &Arguments) {
  std::string Words;
  for (std::size_t Count = 0; Count < Arguments.size(); ++Count) {
    Words += (Count == 0 ? "" : " ") + Arguments[Count];
    if (Words == Command.Name)
      return Count + 1;
  }
  return 0;
}

} // namespace

const std::vector<command> &allCommands() {
  static const std::vector<command> Commands{
      {"config init", "store the first configuration of a fleet",
       runConfigInit},
      {"config show", "print the configuration in force", runConfigShow},
      {"config history", "print who changed what and when", runConfigHistory},
      {"config patch", "submit a patch against a numbered version",
       runConfigPatch},
      {"state", "dump the state of a host", runState},
      {"audit", "print what client accounts were granted and refused",
       runAudit},
      {"drain", "shut a host down without cutting requests", runDrain},
      {"metrics", "print a host's metrics", runMetrics},
      {"key new", "make a key for a client account", runKeyNew},
      {"token new", "make a token for an operator", runTokenNew},
      {"load", "send load to hosts and check their promises", runLoad},
      {"stand-in platform", "run a small stand-in of the platform",
       runStandInPlatform},
      {"stand-in database", "run a small stand-in of a database group",
       runStandInDatabase},
  };
  return Commands;
}

exit_code runCommandLine(const std::vector<std::string> &Arguments,
                         const command_streams &Streams) {
  if (Arguments.empty() || Arguments[0] == "--help" || Arguments[0] == "-h") {
    printHelp(Streams.Out);
    return Arguments.empty() ? exit_code::Usage : exit_code::Success;
  }
  if (Arguments[0] == "--version") {
    Streams.Out << Version << "\n";
    return exit_code::Success;
  }
  for (const command &Command : allCommands()) {
    std::size_t Words = matchedWords(Command, Arguments);
    if (Words == 0)
      continue;
    auto First = Arguments.begin() + static_cast<std::ptrdiff_t>(Words);
    return Command.Run({First, Arguments.end()}, Streams);
  }
  Streams.Error << "radishrelay: unknown command \"" << Arguments[0]
                << "\"; see radishrelay --help\n";
  return exit_code::Usage;
}

} // namespace radishrelay::cli
