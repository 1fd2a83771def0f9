#include "stand_in_commands.h"

#include "control_server.h"
#include "stop_signal.h"

#include "radishrelay/backend/stand_in_group.h"
#include "radishrelay/base/json.h"
#include "radishrelay/cli/command_options.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/tables/stand_in_platform.h"

#include <Poco/Exception.h>

#include <fstream>

namespace radishrelay::cli {

namespace {

namespace options = boost::program_options;

constexpr std::int64_t MaxInstances = 9;

exit_code reportStart(const Poco::Exception &Error,
                      const command_streams &Streams) {
  Streams.Error << "radishrelay: cannot listen: " << Error.displayText()
                << "\n";
  return exit_code::Failed;
}

options::options_description databaseOptions() {
  options::options_description Options("Options");
  auto Add = Options.add_options();
  Add("instances", options::value<std::size_t>()->default_value(3),
      "number of instances, from 1 to 9");
  Add("port", options::value<std::uint16_t>()->default_value(0),
      "port of the first instance, the others follow; 0: chosen by the kernel");
  Add("control-port", options::value<std::uint16_t>()->default_value(0),
      "port for faults and reports");
  Add("slots", options::value<std::size_t>()->default_value(3),
      "statements that an instance runs at once");
  Add("connections", options::value<std::size_t>()->default_value(50),
      "connections that an instance accepts");
  Add("lag", options::value<std::int64_t>()->default_value(0),
      "replication lag in milliseconds");
  Add("service-time", options::value<std::int64_t>()->default_value(0),
      "time of a statement in microseconds");
  Add("connect-delay", options::value<std::int64_t>()->default_value(10),
      "time of a new connection in milliseconds");
  Add("schema", options::value<std::string>(),
      "file with one SQL statement per line, run at the start");
  return Options;
}

/// Returns nothing after an error message.
std::optional<backend::stand_in_options>
groupOptions(const options::variables_map &Values,
             const command_streams &Streams) {
  backend::stand_in_options Options;
  Options.Instances = Values["instances"].as<std::size_t>();
  if (Options.Instances < 1 || Options.Instances > MaxInstances) {
    Streams.Error << "radishrelay: --instances: from 1 to 9\n";
    return std::nullopt;
  }
  auto Port = Values["port"].as<std::uint16_t>();
  for (std::size_t Index = 0; Port != 0 && Index < Options.Instances; ++Index)
    Options.Ports.push_back(static_cast<std::uint16_t>(Port + Index));
  Options.Slots = Values["slots"].as<std::size_t>();
  Options.ConnectionLimit = Values["connections"].as<std::size_t>();
  Options.Lag = std::chrono::milliseconds(Values["lag"].as<std::int64_t>());
  Options.ServiceTime =
      std::chrono::microseconds(Values["service-time"].as<std::int64_t>());
  Options.ConnectDelay =
      std::chrono::milliseconds(Values["connect-delay"].as<std::int64_t>());
  Options.Schema.push_back(
      {groups::request_statements::createTable().Text, {}});
  if (!Values.count("schema"))
    return Options;
  std::string FileName = Values["schema"].as<std::string>();
  std::ifstream Input(FileName);
  if (!Input) {
    Streams.Error << "radishrelay: cannot read " << FileName << "\n";
    return std::nullopt;
  }
  for (std::string Line; std::getline(Input, Line);)
    if (!Line.empty())
      Options.Schema.push_back({Line, {}});
  return Options;
}

} // namespace

exit_code runStandInPlatform(const std::vector<std::string> &Arguments,
                             const command_streams &Streams) {
  options::options_description Options("Options");
  Options.add_options()("port",
                        options::value<std::uint16_t>()->default_value(0),
                        "port on 127.0.0.1; 0: chosen by the kernel");
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(Options, Arguments, Streams, Code);
  if (!Values)
    return Code;
  stop_signal Stop;
  try {
    tables::stand_in_platform Platform((*Values)["port"].as<std::uint16_t>());
    Streams.Out << base::json{{"address", Platform.address()}}.dump()
                << std::endl;
    Stop.wait();
  } catch (const Poco::Exception &Error) {
    return reportStart(Error, Streams);
  }
  return exit_code::Success;
}

exit_code runStandInDatabase(const std::vector<std::string> &Arguments,
                             const command_streams &Streams) {
  exit_code Code = exit_code::Success;
  auto Values = parseOptions(databaseOptions(), Arguments, Streams, Code);
  if (!Values)
    return Code;
  auto Settings = groupOptions(*Values, Streams);
  if (!Settings)
    return exit_code::Usage;
  stop_signal Stop;
  try {
    backend::stand_in_group Group(*Settings);
    control_server Control(Group,
                           (*Values)["control-port"].as<std::uint16_t>());
    base::json Addresses = base::json::array();
    for (std::size_t Index = 0; Index < Group.size(); ++Index)
      Addresses.push_back(Group.address(Index));
    base::json Started = base::json::object();
    Started["instances"] = std::move(Addresses);
    Started["control"] = "127.0.0.1:" + std::to_string(Control.port());
    Streams.Out << Started.dump() << std::endl;
    Stop.wait();
  } catch (const Poco::Exception &Error) {
    return reportStart(Error, Streams);
  } catch (const std::invalid_argument &Error) {
    Streams.Error << "radishrelay: --schema: " << Error.what() << "\n";
    return exit_code::Usage;
  }
  return exit_code::Success;
}

} // namespace radishrelay::cli
