#include "measurements.h"
#include "resources.h"

#include "radishrelay/daemon/group_outputs.h"
#include "radishrelay/daemon/group_runtime.h"
#include "radishrelay/groups/stored_term_majority_strategy.h"

#include <stdexcept>

namespace radishrelay::bench {

using namespace groups;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t GroupCounts[] = {3, 50, 200, 1000};
constexpr std::size_t InstanceCount = 3;

/// Takes the actions of a group_runtime without effect.
class null_outputs : public daemon::group_outputs {
public:
  void finishTask(daemon::request_task &, daemon::http_answer &&) override {}
  bool submitToBackend(backend::backend_command &&) override { return true; }
  void submitToStore(daemon::group_runtime &, const store_call &) override {}
  void sendVote(const promotion_vote &) override {}
  backend::run_id nextRun() override { return ++LastRun; }
  void log(base::log_level, std::string_view, const base::json &) override {}

private:
  backend::run_id LastRun = 0;
};

fleet::database_group makeGroup(std::size_t Number) {
  std::string Name = "permits-" + std::to_string(Number);
  fleet::database_group Group{base::group_id(Name), 3, 50, {}};
  for (std::size_t Index = 0; Index < InstanceCount; ++Index)
    Group.Instances.push_back(
        {base::instance_id(Name + "-" + std::to_string(Index)),
         "127.0.0.1:" + std::to_string(5501 + Index),
         base::failure_domain_id("domain-" + std::to_string(Index))});
  return Group;
}

failover_options makeOptions(std::size_t Number) {
  failover_options Options;
  fleet::database_group Group = makeGroup(Number);
  Options.Group = Group.Id;
  for (const fleet::backend_instance &Instance : Group.Instances)
    Options.Instances.push_back(Instance.Id);
  Options.Host = base::host_id("host-1");
  Options.FailureDomain = base::failure_domain_id("domain-0");
  Options.Incarnation = "1";
  return Options;
}

/// Failovers of many groups whose instances all answer their probes.
class probed_groups {
public:
  explicit probed_groups(std::size_t Count) {
    auto Strategy = std::make_shared<stored_term_majority_strategy>();
    for (std::size_t Index = 0; Index < Count; ++Index)
      Failovers.emplace_back(makeOptions(Index), Strategy,
                             base::random_generator(Index));
  }

  /// Runs one probe interval and returns the number of answers.
  std::size_t round() {
    Now += 200ms;
    std::size_t Answers = 0;
    for (group_failover &Failover : Failovers) {
      failover_actions Actions = Failover.handle(time_passed{}, Now);
      for (const failover_action &Action : Actions)
        if (const auto *Call = std::get_if<instance_call>(&Action)) {
          Failover.handle(answerTo(*Call), Now + 1ms);
          ++Answers;
        }
    }
    return Answers;
  }

  [[nodiscard]] bool hasPrimaries() const {
    return std::ranges::all_of(Failovers, [](const group_failover &Failover) {
      return Failover.view().Primary.has_value();
    });
  }

private:
  [[nodiscard]] instance_answer answerTo(const instance_call &Call) const {
    instance_answer Answer;
    Answer.Call = Call;
    Answer.Outcome = call_outcome::Done;
    Answer.AskedAt = Now;
    instance_status Status;
    bool IsFirst = Call.Instance.str().ends_with("-0");
    Status.Role = IsFirst ? instance_role::Primary : instance_role::Replica;
    Status.Position = {3, 1000};
    Status.RaisedTerm = 3;
    Status.TermStarts = {{1, 0}, {2, 100}, {3, 500}};
    Answer.Status = Status;
    return Answer;
  }

  std::vector<group_failover> Failovers;
  base::time_point Now = base::fromMicroseconds(1'000'000);
};

slope measureProbes() {
  slope Result("probe answer in group_failover, with its start", "us",
               "groups");
  for (std::size_t Size : GroupCounts) {
    probed_groups Groups(Size);
    Groups.round();
    std::size_t Answers = 0;
    double Start = threadMicroseconds();
    while (Answers < 300'000)
      Answers += Groups.round();
    double Cost = threadMicroseconds() - Start;
    if (!Groups.hasPrimaries())
      throw std::runtime_error("a group has no primary");
    Result.add(static_cast<double>(Size), Cost / static_cast<double>(Answers));
  }
  return Result;
}

slope measureStatusText() {
  slope Result("parsing of group_status()", "us", "terms in the status");
  for (std::size_t Size : {1U, 4U, 16U, 64U}) {
    instance_status Status;
    Status.Position = {Size, 100'000};
    Status.RaisedTerm = Size;
    for (std::size_t Term = 1; Term <= Size; ++Term)
      Status.TermStarts.push_back({Term, 100 * Term});
    std::string Text = formatInstanceStatus(Status);
    Result.add(static_cast<double>(Size),
               microsecondsPerCall(10'000, [&](std::size_t) {
                 if (!parseInstanceStatus(Text))
                   throw std::runtime_error("the status was not parsed");
               }));
  }
  return Result;
}

struct runtime_costs {
  slope Memory{"memory of database groups (group_runtime)", "bytes", "groups"};
  slope Wake{"next wake and tick of groups that have nothing to do", "us",
             "groups"};
};

runtime_costs measureRuntimes() {
  runtime_costs Costs;
  null_outputs Outputs;
  std::vector<std::unique_ptr<daemon::group_runtime>> Groups;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  double Before = residentBytes();
  for (std::size_t Size : GroupCounts) {
    while (Groups.size() < Size) {
      daemon::group_runtime_options Options;
      Options.Group = makeGroup(Groups.size());
      Options.Host = base::host_id("host-1");
      Options.FailureDomain = base::failure_domain_id("domain-0");
      Options.Incarnation = "1";
      Options.Serial = Groups.size() + 1;
      Groups.push_back(
          std::make_unique<daemon::group_runtime>(Options, Outputs));
      Groups.back()->tick(Now);
    }
    auto Count = static_cast<double>(Size);
    Costs.Memory.add(Count, residentBytes() - Before);
    base::time_point Wake;
    Costs.Wake.add(Count, microsecondsPerCall(200, [&](std::size_t) {
                     for (auto &Group : Groups) {
                       Group->tick(Now);
                       Wake = std::max(Wake, Group->nextWake());
                     }
                   }));
  }
  return Costs;
}

} // namespace

slopes measureGroups() {
  runtime_costs Costs = measureRuntimes();
  return {Costs.Memory, Costs.Wake, measureProbes(), measureStatusText()};
}

} // namespace radishrelay::bench
