#include "config_init_command.h"

#include "radishrelay/cli/command_options.h"
#include "radishrelay/fleet/configuration_document.h"
#include "radishrelay/fleet/configuration_rows.h"
#include "radishrelay/platform/platform_client.h"

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

/// Writes the first version, only if the store has none.
base::store_request
firstVersion(const fleet::configuration_document &Document) {
  base::json Version = base::json::object();
  Version["version"] = Document.Version;
  Version["digest"] = fleet::configurationDigest(Document);
  base::store_transaction Transaction;
  Transaction.Conditions.push_back({fleet::currentRow(), 0});
  Transaction.Writes.push_back(
      {fleet::currentRow(), fleet::formatConfiguration(Document)});
  Transaction.Writes.push_back({fleet::versionRow(), Version});
  return Transaction;
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
  constexpr base::duration Timeout = std::chrono::seconds(10);
  platform::platform_client Client((*Values)["platform"].as<std::string>());
  base::store_answer Answer = Client.execute(
      firstVersion(*Document), base::monotonic_clock::now() + Timeout);
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
