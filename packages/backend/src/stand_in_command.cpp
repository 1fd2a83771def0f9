#include "radishrelay/backend/stand_in_command.h"

#include "radishrelay/base/json.h"

#include <array>
#include <charconv>
#include <iterator>
#include <optional>
#include <sstream>
#include <vector>

namespace radishrelay::backend {

namespace {

using words = std::vector<std::string>;

/// A command on one instance.
struct fault_command {
  std::string_view Word;
  void (*Run)(stand_in_group &, std::size_t Instance);
};

/// A command on one instance with a time.
struct timing_command {
  std::string_view Word;
  void (stand_in_group::*Run)(std::size_t Instance, base::duration Time);
};

constexpr std::array FaultCommands = {
    fault_command{"kill", [](stand_in_group &G, std::size_t I) { G.kill(I); }},
    fault_command{"revive",
                  [](stand_in_group &G, std::size_t I) { G.revive(I); }},
    fault_command{"cut",
                  [](stand_in_group &G, std::size_t I) { G.setCut(I, true); }},
    fault_command{"join",
                  [](stand_in_group &G, std::size_t I) { G.setCut(I, false); }},
    fault_command{"silence",
                  [](stand_in_group &G, std::size_t I) { G.silence(I); }},
    fault_command{
        "lose-answer",
        [](stand_in_group &G, std::size_t I) { G.loseNextCommitAnswer(I); }},
};

constexpr std::array TimingCommands = {
    timing_command{"delay", &stand_in_group::delayAnswers},
    timing_command{"lag", &stand_in_group::setLag},
    timing_command{"service-time", &stand_in_group::setServiceTime},
};

base::failure malformed(std::string_view Line, const std::string &Detail) {
  return {std::make_error_code(std::errc::invalid_argument), "parse command",
          std::string(Line), Detail};
}

std::optional<std::size_t> parseNumber(const std::string &Text) {
  std::size_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

std::string statusText(const stand_in_group &Group) {
  base::json Instances = base::json::array();
  std::vector<stand_in_report> Reports = Group.reports();
  for (std::size_t Index = 0; Index < Reports.size(); ++Index) {
    const stand_in_report &Report = Reports[Index];
    base::json Entry = base::json::object();
    Entry["address"] = Group.address(Index);
    Entry["alive"] = Report.Alive;
    Entry["status"] =
        base::json::parse(groups::formatInstanceStatus(Report.Status));
    Entry["connections"] = Report.Connections;
    Entry["most_connections"] = Report.MostConnections;
    Entry["refused_connections"] = Report.RefusedConnections;
    Entry["statements"] = Report.Statements;
    Entry["commits"] = Report.Commits;
    Instances.push_back(std::move(Entry));
  }
  return Instances.dump();
}

} // namespace

base::expected<std::string> runStandInCommand(stand_in_group &Group,
                                              std::string_view Line) {
  std::istringstream Input{std::string(Line)};
  words Words(std::istream_iterator<std::string>(Input), {});
  if (Words.size() == 1 && Words[0] == "status")
    return statusText(Group);
  if (Words.size() < 2)
    return malformed(Line, "expected a command and an instance");
  std::optional<std::size_t> Instance = parseNumber(Words[1]);
  if (!Instance || *Instance >= Group.size())
    return malformed(Line, "expected an instance from 0 to " +
                               std::to_string(Group.size() - 1));
  for (const fault_command &Command : FaultCommands)
    if (Words.size() == 2 && Words[0] == Command.Word) {
      Command.Run(Group, *Instance);
      return std::string();
    }
  std::optional<std::size_t> Time =
      Words.size() == 3 ? parseNumber(Words[2]) : std::nullopt;
  for (const timing_command &Command : TimingCommands)
    if (Time && Words[0] == Command.Word) {
      (Group.*Command.Run)(*Instance, std::chrono::milliseconds(*Time));
      return std::string();
    }
  return malformed(Line, "unknown command or wrong number of arguments");
}

} // namespace radishrelay::backend
