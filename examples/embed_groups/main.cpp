#include "radishrelay/groups/read_router.h"
#include "radishrelay/groups/stored_term_majority_strategy.h"
#include "radishrelay/groups/write_tracker.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>

/// Embeds the decisions on reads and writes of a database group. The evidence
/// is scripted; an embedder takes it from its own connections and clock.
namespace {

using namespace radishrelay;
using namespace radishrelay::groups;
using std::chrono::milliseconds;

const base::instance_id Primary("permits-1");
const base::instance_id FirstReplica("permits-2");
const base::instance_id SecondReplica("permits-3");

constexpr milliseconds EvidenceLifetime(200);

base::time_point at(std::int64_t Milliseconds) {
  return base::time_point(milliseconds(Milliseconds));
}

instance_status status(instance_role Role, log_position Position) {
  instance_status Status;
  Status.Role = Role;
  Status.Position = Position;
  Status.RaisedTerm = Position.Term;
  Status.TermStarts = {{1, 0}};
  return Status;
}

std::string describe(const run_read &Decision) {
  return "run on " + Decision.Instance.str();
}

std::string describe(const wait_for_position &Decision) {
  return "wait for " + Decision.Instance.str();
}

std::string describe(const refuse_read &Decision) {
  return "refuse: " + Decision.Code.message();
}

std::string describe(const instance_call &Call) {
  return "ask " + Call.Instance.str() + " for its status";
}

std::string describe(const acknowledge_write &Action) {
  return "acknowledge write " + std::to_string(Action.Write);
}

std::string describe(const report_unknown &Action) {
  return "outcome unknown of write " + std::to_string(Action.Write);
}

template <typename Variant> std::string describeAny(const Variant &Value) {
  return std::visit([](const auto &Content) { return describe(Content); },
                    Value);
}

/// A session that has seen offset 10 reads while one replica is behind.
bool readsFromFreshReplica() {
  read_router Router;
  for (const base::instance_id &Instance :
       {Primary, FirstReplica, SecondReplica})
    Router.setInstance(Instance, milliseconds(1));
  Router.observe(Primary, {status(instance_role::Primary, {1, 12}), at(0)});
  Router.observe(FirstReplica,
                 {status(instance_role::Replica, {1, 11}), at(0)});
  Router.observe(SecondReplica,
                 {status(instance_role::Replica, {1, 7}), at(0)});
  read_request Request;
  Request.Required.Position = {1, 10};
  Request.Deadline = at(1000);
  read_decision Decision = Router.choose(Request, at(1));
  std::cout << "read after offset 10: " << describeAny(Decision) << '\n';
  const auto *Run = std::get_if<run_read>(&Decision);
  return Run != nullptr && Run->Instance == FirstReplica;
}

instance_answer answer(const base::instance_id &Instance, instance_role Role,
                       log_position Position, base::time_point AskedAt) {
  instance_answer Answer;
  Answer.Call = {Instance, call_kind::Status, 0, AskedAt + EvidenceLifetime};
  Answer.Outcome = call_outcome::Done;
  Answer.Status = status(Role, Position);
  Answer.AskedAt = AskedAt;
  return Answer;
}

/// Prints the actions; true when they acknowledge a write.
bool acknowledges(const std::string &Event,
                  const std::vector<write_action> &Actions) {
  std::cout << Event << ":";
  for (const write_action &Action : Actions)
    std::cout << ' ' << describeAny(Action) << ';';
  std::cout << '\n';
  return std::ranges::any_of(Actions, [](const write_action &Action) {
    return std::holds_alternative<acknowledge_write>(Action);
  });
}

/// A write is acknowledged once two of three instances are seen to hold it.
bool acknowledgesByMajority() {
  write_tracker Tracker({}, std::make_shared<stored_term_majority_strategy>(),
                        {Primary, FirstReplica, SecondReplica});
  committed_write Write{1, {1, 13}, at(10), at(1000)};
  bool Early = acknowledges("commit", Tracker.handle(Write, at(10)));
  Early |= acknowledges(
      "primary holds it",
      Tracker.handle(answer(Primary, instance_role::Primary, {1, 13}, at(10)),
                     at(11)));
  bool Behind =
      acknowledges("replica is behind",
                   Tracker.handle(answer(FirstReplica, instance_role::Replica,
                                         {1, 11}, at(10)),
                                  at(11)));
  bool Held =
      acknowledges("replica holds it",
                   Tracker.handle(answer(FirstReplica, instance_role::Replica,
                                         {1, 13}, at(13)),
                                  at(14)));
  return !Early && !Behind && Held;
}

} // namespace

int main() {
  bool Reads = readsFromFreshReplica();
  bool Writes = acknowledgesByMajority();
  return Reads && Writes ? EXIT_SUCCESS : EXIT_FAILURE;
}
