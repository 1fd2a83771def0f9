#include "radishrelay/daemon/instance_link.h"

#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/retry_policy.h"

#include <algorithm>
#include <utility>

namespace radishrelay::daemon {

namespace {

backend::statement callStatement(const groups::instance_call &Call) {
  switch (Call.Kind) {
  case groups::call_kind::Raise:
    return {"SELECT group_raise_term($1)", {std::to_string(Call.Term)}};
  case groups::call_kind::Promote:
    return {"SELECT group_promote($1)", {std::to_string(Call.Term)}};
  case groups::call_kind::Status:
    break;
  }
  return toBackend(groups::request_statements::groupStatus());
}

/// Parses the status that a call returned; empty if it returned none.
std::optional<groups::instance_status>
statusOf(const backend::run_finished &Event) {
  if (Event.Results.empty() || Event.Results[0].Rows.empty() ||
      Event.Results[0].Rows[0].empty() || !Event.Results[0].Rows[0][0])
    return std::nullopt;
  auto Status = groups::parseInstanceStatus(*Event.Results[0].Rows[0][0]);
  if (!Status)
    return std::nullopt;
  return std::move(*Status);
}

} // namespace

backend::statement toBackend(const groups::sql_statement &Statement) {
  return {Statement.Text, Statement.Parameters};
}

instance_link::instance_link(instance_link_options Options,
                             group_outputs &Outputs)
    : Options(std::move(Options)), Outputs(Outputs), Pool(this->Options.Pool) {}

void instance_link::call(const link_call &Call, base::time_point Now) {
  WaitingCalls.push_back(Call);
  startCalls(Now);
}

void instance_link::setDemand(std::size_t Waiting, base::time_point Now) {
  apply(Pool.setDemand(Waiting, Now), Now);
}

void instance_link::release(groups::connection_number Connection,
                            groups::connection_release_state End,
                            base::time_point Now) {
  apply(Pool.release(Connection, End, Now), Now);
}

void instance_link::setLeaving(bool Leaving, base::time_point Now) {
  apply(Pool.setLeaving(Leaving, Now), Now);
}

void instance_link::setQuota(std::uint32_t Quota, base::time_point Now) {
  apply(Pool.setQuota(Quota, Now), Now);
}

void instance_link::onOpened(groups::connection_number Connection,
                             base::time_point Now) {
  apply(Pool.opened(Connection, Now), Now);
  startCalls(Now);
}

void instance_link::onClosed(groups::connection_number Connection,
                             base::time_point Now) {
  apply(Pool.closed(Connection, Now), Now);
}

bool instance_link::onRunFinished(const backend::run_finished &Event,
                                  base::time_point Now) {
  if (auto Found = CallRuns.extract(Event.Run)) {
    finishCalls(Found.mapped(), Event);
    startCalls(Now);
    return true;
  }
  if (auto Found = ResetRuns.extract(Event.Run)) {
    finishReset(std::move(Found.mapped()), Event, Now);
    return true;
  }
  return false;
}

void instance_link::tick(base::time_point Now) {
  apply(Pool.tick(Now), Now);
  expireCalls(Now);
  startCalls(Now);
}

std::vector<link_answer> instance_link::takeAnswers() {
  return std::exchange(Answers, {});
}

std::optional<base::time_point> instance_link::nextWake() const {
  std::optional<base::time_point> Wake = Pool.nextDeadline();
  for (const link_call &Waiting : WaitingCalls)
    if (!Wake || Waiting.Call.Deadline < *Wake)
      Wake = Waiting.Call.Deadline;
  return Wake;
}

base::json instance_link::dump() const {
  base::json Dump = base::json::object();
  Dump["instance"] = Options.Instance.str();
  Dump["address"] = Options.Address;
  Dump["pool"] = Pool.dump();
  Dump["waiting_calls"] = WaitingCalls.size();
  return Dump;
}

void instance_link::apply(const groups::pool_actions &Actions,
                          base::time_point Now) {
  for (const groups::pool_action &Action : Actions)
    std::visit([&](const auto &Content) { on(Content, Now); }, Action);
}

void instance_link::on(const groups::open_pooled_connection &Action,
                       base::time_point Now) {
  bool Submitted = Outputs.submitToBackend(backend::open_connection{
      Action.Connection, Options.Address, Options.Database, Action.Deadline});
  if (!Submitted)
    onClosed(Action.Connection, Now);
}

void instance_link::on(const groups::reset_pooled_connection &Action,
                       base::time_point Now) {
  startReset({Action.Connection, Action.Statements, Action.Deadline}, Now);
}

void instance_link::on(const groups::close_pooled_connection &Action,
                       base::time_point Now) {
  bool Submitted =
      Outputs.submitToBackend(backend::close_connection{Action.Connection});
  // The backend thread did not take the command, so the connection stays open.
  // The pool must not wait for an event that will not come.
  if (!Submitted)
    onClosed(Action.Connection, Now);
}

void instance_link::startReset(reset_run Reset, base::time_point Now) {
  if (Reset.Remaining.empty()) {
    apply(Pool.resetEnded(Reset.Connection, true, Now), Now);
    return;
  }
  backend::statement Next = toBackend(Reset.Remaining.front());
  Reset.Remaining.erase(Reset.Remaining.begin());
  backend::run_id Run = Outputs.nextRun();
  groups::connection_number Connection = Reset.Connection;
  if (submitRun(Connection, Run, {Next}, Reset.Deadline))
    ResetRuns.emplace(Run, std::move(Reset));
  else
    apply(Pool.resetEnded(Connection, false, Now), Now);
}

void instance_link::finishReset(reset_run Reset,
                                const backend::run_finished &Event,
                                base::time_point Now) {
  if (Event.Failure)
    apply(Pool.resetEnded(Reset.Connection, false, Now), Now);
  else
    startReset(std::move(Reset), Now);
}

void instance_link::startCalls(base::time_point Now) {
  std::optional<groups::connection_number> Control = Pool.control();
  if (WaitingCalls.empty() || !Control || !CallRuns.empty())
    return;
  call_batch Calls = nextBatch();
  base::time_point Deadline = Calls.front().Call.Deadline;
  for (const link_call &Item : Calls)
    Deadline = std::max(Deadline, Item.Call.Deadline);
  backend::run_id Run = Outputs.nextRun();
  std::vector<backend::statement> Statements{callStatement(Calls.front().Call)};
  if (submitRun(*Control, Run, std::move(Statements), Deadline)) {
    CallRuns.emplace(Run, std::move(Calls));
    return;
  }
  backend::run_finished Failed;
  Failed.Failure.Code = std::make_error_code(std::errc::no_buffer_space);
  Failed.SentAt = Now;
  finishCalls(Calls, Failed);
}

instance_link::call_batch instance_link::nextBatch() {
  call_batch Calls{WaitingCalls.front()};
  WaitingCalls.pop_front();
  if (Calls.front().Call.Kind != groups::call_kind::Status)
    return Calls;
  auto IsStatus = [](const link_call &Item) {
    return Item.Call.Kind == groups::call_kind::Status;
  };
  std::copy_if(WaitingCalls.begin(), WaitingCalls.end(),
               std::back_inserter(Calls), IsStatus);
  std::erase_if(WaitingCalls, IsStatus);
  return Calls;
}

void instance_link::finishCalls(const call_batch &Calls,
                                const backend::run_finished &Event) {
  std::optional<groups::instance_status> Status = statusOf(Event);
  groups::call_outcome Outcome = groups::call_outcome::Failed;
  if (groups::isNotPrimary(Event.SqlState))
    Outcome = groups::call_outcome::Refused;
  else if (!Event.Failure && Status)
    Outcome = groups::call_outcome::Done;
  for (const link_call &Item : Calls)
    Answers.push_back(
        {{Item.Call, Outcome, Status, Event.SentAt}, Item.Requester});
}

void instance_link::expireCalls(base::time_point Now) {
  auto IsExpired = [Now](const link_call &Item) {
    return Item.Call.Deadline <= Now;
  };
  for (const link_call &Item : WaitingCalls)
    if (IsExpired(Item))
      Answers.push_back(
          {{Item.Call, groups::call_outcome::Failed, {}, Now}, Item.Requester});
  std::erase_if(WaitingCalls, IsExpired);
}

bool instance_link::submitRun(groups::connection_number Connection,
                              backend::run_id Run,
                              std::vector<backend::statement> Statements,
                              base::time_point Deadline) {
  return Outputs.submitToBackend(backend::run_statements{
      Connection, Run, std::move(Statements), Deadline});
}

} // namespace radishrelay::daemon
