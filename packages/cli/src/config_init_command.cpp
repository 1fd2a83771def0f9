#include "config_init_command.h"

#include "first_configuration.h"

#include "radishrelay/cli/command_options.h"

#include <fstream>
#include <iterator>

namespace radishrelay::cli {

namespace {

namespace options = boost::program_options;

/// Returns nothing after an error message.
std::optional<fleet::configuration_document>
readDocument(const std::string &FileName, const command_streams &Streams) {
  std::ifstream Input(FileName);
  if (!Input) {
    Streams.Error << "radishrelay: cannot read " << FileName << "\n";
    return std::nullopt;
  }
  std::string Text{std::istreambuf_iterator<char>(Input), {}};
  base::json Parsed = base::json::parse(Text, nullptr, false);
  auto Document = fleet::parseConfiguration(Parsed);
  if (Document)
    return std::move(*Document);
  for (const fleet::configuration_error &Error : Document.error())
    Streams.Error << "radishrelay: " << FileName << ": " << Error << "\n";
  return std::nullopt;
}

} // namespace

exit_code runConfigInit(const std::vector<std::string> &Arguments,
                        const command_streams &Streams) {
  options::options_description Options("Options");
  auto Add = Options.add_options();
  Add("platform", options::value<std::string>()->required(),
      "address of the platform's table service");
  Add("file", options::value<std::string>()->required(),
      "file with the first configuration as JSON");
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(Options, Arguments, Streams, Code);
  if (!Values)
    return Code;
  auto Document = readDocument((*Values)["file"].as<std::string>(), Streams);
  if (!Document)
    return exit_code::Usage;
  base::store_answer Answer = storeFirstConfiguration(
      (*Values)["platform"].as<std::string>(), *Document);
  if (Answer.Outcome == base::store_outcome::Done) {
    Streams.Out << "version " << Document->Version << " stored\n";
    return exit_code::Success;
  }
  if (Answer.Outcome == base::store_outcome::Conflict)
    Streams.Error << "radishrelay: the store already has a configuration\n";
  else
    Streams.Error << "radishrelay: " << Answer.Failure << "\n";
  return exit_code::Failed;
}

} // namespace radishrelay::cli
