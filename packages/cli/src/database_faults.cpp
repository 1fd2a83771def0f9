#include "database_faults.h"

#include <array>
#include <string_view>

namespace radishrelay::cli {

namespace {

struct fault_row {
  std::string_view Name;
  void (*Inject)(backend::stand_in_group &Group, std::size_t Instance,
                 base::duration Time);
};

constexpr std::array Faults{
    fault_row{"kill",
              [](auto &Group, auto Instance, auto) { Group.kill(Instance); }},
    fault_row{"revive",
              [](auto &Group, auto Instance, auto) { Group.revive(Instance); }},
    fault_row{"cut", [](auto &Group, auto Instance,
                        auto) { Group.setCut(Instance, true); }},
    fault_row{"join", [](auto &Group, auto Instance,
                         auto) { Group.setCut(Instance, false); }},
    fault_row{"silence", [](auto &Group, auto Instance,
                            auto) { Group.silence(Instance); }},
    fault_row{"lose_commit_answer",
              [](auto &Group, auto Instance, auto) {
                Group.loseNextCommitAnswer(Instance);
              }},
    fault_row{"delay", [](auto &Group, auto Instance,
                          auto Time) { Group.delayAnswers(Instance, Time); }},
    fault_row{"lag", [](auto &Group, auto Instance,
                        auto Time) { Group.setLag(Instance, Time); }},
    fault_row{"service_time",
              [](auto &Group, auto Instance, auto Time) {
                Group.setServiceTime(Instance, Time);
              }},
};

base::failure faultFailure(const std::string &Detail) {
  return {std::make_error_code(std::errc::invalid_argument), "inject fault", "",
          Detail};
}

base::json toJson(const backend::stand_in_report &Report) {
  base::json Object = base::json::object();
  Object["alive"] = Report.Alive;
  Object["status"] =
      base::json::parse(groups::formatInstanceStatus(Report.Status));
  Object["connections"] = Report.Connections;
  Object["most_connections"] = Report.MostConnections;
  Object["refused_connections"] = Report.RefusedConnections;
  Object["statements"] = Report.Statements;
  Object["commits"] = Report.Commits;
  return Object;
}

std::string allowedNames() {
  std::string Names;
  for (const fault_row &Row : Faults)
    Names += " " + std::string(Row.Name);
  return Names;
}

} // namespace

base::failure injectFault(backend::stand_in_group &Group,
                          const base::json &Fault) {
  if (!Fault.is_object() || !Fault.contains("instance") ||
      !Fault["instance"].is_number_unsigned() || !Fault.contains("fault") ||
      !Fault["fault"].is_string())
    return faultFailure("expected {\"instance\":N,\"fault\":NAME}");
  auto Instance = Fault["instance"].get<std::size_t>();
  if (Instance >= Group.size())
    return faultFailure("instance: from 0 to " +
                        std::to_string(Group.size() - 1));
  std::int64_t Milliseconds = 0;
  if (Fault.contains("ms") && Fault["ms"].is_number_unsigned())
    Milliseconds = Fault["ms"].get<std::int64_t>();
  for (const fault_row &Row : Faults)
    if (Row.Name == Fault["fault"].get<std::string>()) {
      Row.Inject(Group, Instance, std::chrono::milliseconds(Milliseconds));
      return {};
    }
  return faultFailure("fault: one of" + allowedNames());
}

base::json reportJson(const backend::stand_in_group &Group) {
  base::json Reports = base::json::array();
  for (const backend::stand_in_report &Report : Group.reports())
    Reports.push_back(toJson(Report));
  return Reports;
}

} // namespace radishrelay::cli
