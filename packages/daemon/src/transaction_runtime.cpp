#include "radishrelay/daemon/transaction_runtime.h"

#include "radishrelay/base/rendezvous.h"
#include "radishrelay/daemon/group_runtime.h"
#include "radishrelay/groups/request_error.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/session_error.h"
#include "radishrelay/groups/term_history.h"
#include "run_outcome.h"

#include <algorithm>
#include <utility>

namespace radishrelay::daemon {

namespace {

namespace statements = groups::request_statements;

constexpr const char *Step = "run in transaction";
constexpr int CreatedStatus = 201;

/// Indices of the statements in the run of a request in a transaction.
constexpr std::size_t StatementStatusIndex = 0;
constexpr std::size_t StatementResultIndex = 1;
constexpr std::size_t CommitStatusIndex = 1;

bool endsTransaction(const request_task &Task) {
  return Task.Request.Operation != caller_operation::RunRoute;
}

std::vector<groups::sql_statement> statementsOf(const request_task &Task) {
  const caller_request &Request = Task.Request;
  if (Request.Operation == caller_operation::CommitTransaction)
    return {statements::commit(), statements::groupStatus()};
  if (Request.Operation == caller_operation::RollbackTransaction)
    return {statements::rollback()};
  return {statements::groupStatus(),
          {Request.Route->Statement, Request.Parameters}};
}

/// True when the instance holds all that the session of \p Task has seen. A
/// primary that was replaced may lack writes of its successor.
bool holdsSession(const groups::status_evidence &Evidence,
                  const request_task &Task, const base::group_id &Group) {
  groups::position_requirement Required = Task.Session.requirementFor(Group);
  return groups::term_history(Evidence.Status).relate(Required.Position) ==
         groups::position_relation::Contained;
}

problem_code codeOf(std::error_code Code) {
  if (Code == groups::request_error::TransactionBusy)
    return problem_code::Overloaded;
  if (Code == groups::request_error::StatementFailed)
    return problem_code::StatementFailed;
  if (Code == groups::request_error::OutcomeUnknown)
    return problem_code::OutcomeUnknown;
  return problem_code::TransactionLost;
}

} // namespace

transaction_runtime::transaction_runtime(const base::host_id &Host,
                                         const std::string &Incarnation,
                                         transaction_outputs &Outputs,
                                         groups::transaction_limits Limits)
    : Host(Host), Limits(Limits),
      Table(Host, base::stableHash(Incarnation), Limits), Outputs(Outputs) {}

void transaction_runtime::submit(const request_task_ptr &Task,
                                 base::time_point Now) {
  const caller_request &Request = Task->Request;
  auto Id = Request.View->Transactions.decode(Request.Transaction);
  if (!Id && Id.error().Code == groups::session_error::UnknownKey) {
    refuse(*Task, groups::refusalForLostHost(endsTransaction(*Task)), nullptr);
    return;
  }
  if (!Id) {
    refuse(*Task, {problem_code::ParametersInvalid, groups::ran_state::No,
                   "not a transaction handle", Step, "", 0});
    return;
  }
  if (Id->Host == Host) {
    runInTransaction(*Id, Task, Now);
    return;
  }
  // A request is forwarded once at most, so that hosts that disagree about its
  // host cannot forward it in a loop.
  if (Request.IsForwarded || !Outputs.forwardToHost(Id->Host, Task))
    refuse(*Task, groups::refusalForLostHost(endsTransaction(*Task)), nullptr);
}

std::optional<problem>
transaction_runtime::findMisuse(const groups::transaction_id &Id,
                                const request_task &Task) const {
  if (Task.Request.Operation != caller_operation::RunRoute)
    return std::nullopt;
  if (!Task.Request.IdempotencyKey.empty())
    return problem{problem_code::ParametersInvalid,
                   groups::ran_state::No,
                   "Idempotency-Key: not in a transaction",
                   Step,
                   "",
                   0};
  auto Known = HeldConnections.find(Id.Number);
  bool IsOwn = Known != HeldConnections.end() &&
               Known->second.Account == Task.Request.account();
  if (IsOwn && Known->second.Group != Task.Request.Group)
    return problem{problem_code::ParametersInvalid,
                   groups::ran_state::No,
                   "the route and the transaction are of different groups",
                   Step,
                   "",
                   0};
  return std::nullopt;
}

groups::transaction_reply
transaction_runtime::begin(const groups::transaction_id &Id,
                           const request_task &Task, base::time_point Now) {
  const base::account_id Account = Task.Request.account();
  switch (Task.Request.Operation) {
  case caller_operation::CommitTransaction:
    return Table.beginCommit(Id, Account, Now);
  case caller_operation::RollbackTransaction:
    return Table.beginRollback(Id, Account, Now);
  case caller_operation::RunRoute:
  case caller_operation::OpenTransaction:
    break;
  }
  return Table.beginStatement(Id, Account, Now);
}

void transaction_runtime::runInTransaction(const groups::transaction_id &Id,
                                           const request_task_ptr &Task,
                                           base::time_point Now) {
  if (std::optional<problem> Misuse = findMisuse(Id, *Task)) {
    refuse(*Task, *Misuse);
    return;
  }
  groups::transaction_reply Reply = begin(Id, *Task, Now);
  if (std::holds_alternative<groups::use_connection>(Reply)) {
    startRun(Id.Number, Task, Now);
    return;
  }
  auto Group = GroupsByNumber.find(Id.Number);
  reply(Task, Group == GroupsByNumber.end() ? base::group_id() : Group->second,
        Reply, nullptr, Now);
}

void transaction_runtime::startRun(std::uint64_t Number,
                                   const request_task_ptr &Task,
                                   base::time_point Now) {
  held_connection &Connection = HeldConnections.at(Number);
  Connection.Current = Task;
  if (group_runtime *Group = Outputs.findGroup(Connection.Group))
    Group->runOnHeldConnection(Task, Connection.Connection, statementsOf(*Task),
                               Now);
  else if (auto End = Table.connectionLost(Connection.Connection, Now))
    applyEnd(Number, *End, Task, nullptr, Now);
}

void transaction_runtime::onTransactionBegun(
    group_runtime &Group, const request_task_ptr &Task,
    groups::connection_number Connection, base::time_point Now) {
  const caller_request &Request = Task->Request;
  auto Release = [&] {
    Group.releaseHeldConnection(
        Connection, groups::connection_release_state::InTransaction, Now);
  };
  // The caller will not receive the handle, so nobody could use the
  // transaction.
  if (Task->IsCallerDisconnected) {
    Release();
    refuse(*Task, {problem_code::TransactionLost, groups::ran_state::No,
                   "the caller has gone", "open transaction", "", 0});
    return;
  }
  auto Id = Table.open(Request.account(), Request.Group, Connection,
                       Request.Deadline);
  if (!Id) {
    Release();
    refuse(*Task,
           {problem_code::Overloaded, groups::ran_state::No,
            "too many open transactions", "open transaction", Host.str(), 1});
    return;
  }
  HeldConnections[Id->Number] = {Request.account(), Request.Group, Connection,
                                 nullptr};
  GroupsByNumber[Id->Number] = Request.Group;
  auto Handle = Request.View->Transactions.encode(*Id);
  if (!Handle) {
    if (auto End = Table.connectionLost(Connection, Now))
      applyEnd(Id->Number, *End, nullptr, nullptr, Now);
    refuse(*Task, {problem_code::Overloaded, groups::ran_state::No,
                   Handle.error().Code.message(), Handle.error().Step, "", 1});
    return;
  }
  http_answer Answer;
  Answer.Status = CreatedStatus;
  Answer.Body = base::json{{"transaction", *Handle}}.dump();
  Outputs.finishTask(*Task, std::move(Answer));
}

void transaction_runtime::onHeldRunFinished(const request_task_ptr &Task,
                                            const backend::run_finished &Event,
                                            base::time_point Now) {
  auto Found = std::find_if(
      HeldConnections.begin(), HeldConnections.end(), [&](const auto &Entry) {
        return Entry.second.Connection == Event.Connection;
      });
  // The transaction ended while the run was in progress, and the task was
  // answered then.
  if (Found == HeldConnections.end() || Found->second.Current != Task)
    return;
  std::uint64_t Number = Found->first;
  Found->second.Current = nullptr;
  groups::attempt_end End = detail::attemptEnd(Event);
  bool IsCommit =
      Task->Request.Operation == caller_operation::CommitTransaction;
  bool IsStatement = Task->Request.Operation == caller_operation::RunRoute;
  auto Evidence = detail::statusAt(Event, IsCommit ? CommitStatusIndex
                                                   : StatementStatusIndex);
  if (IsStatement && End.Succeeded &&
      !(Evidence && holdsSession(*Evidence, *Task, Found->second.Group))) {
    if (auto Lost = Table.connectionLost(Event.Connection, Now))
      applyEnd(Number, *Lost, Task, &Event, Now);
    return;
  }
  if (IsCommit)
    End.Succeeded = End.Succeeded && Evidence;
  groups::log_position Position;
  if (IsCommit && Evidence)
    Position = Evidence->Status.Position;
  applyEnd(Number, Table.requestEnded(Number, End, Position, Now), Task, &Event,
           Now);
}

void transaction_runtime::onConnectionClosed(
    groups::connection_number Connection, base::time_point Now) {
  std::optional<groups::transaction_end> End =
      Table.connectionLost(Connection, Now);
  if (!End || !End->Release)
    return;
  std::uint64_t Number = End->Release->Transaction;
  request_task_ptr Task =
      std::exchange(HeldConnections.at(Number).Current, nullptr);
  applyEnd(Number, *End, Task, nullptr, Now);
}

void transaction_runtime::applyEnd(std::uint64_t Number,
                                   const groups::transaction_end &End,
                                   const request_task_ptr &Task,
                                   const backend::run_finished *Event,
                                   base::time_point Now) {
  base::group_id GroupId = GroupsByNumber.at(Number);
  if (End.Release) {
    HeldConnections.erase(Number);
    EndOrder.push_back({Number, Now + Limits.OutcomeRetention});
    if (group_runtime *Group = Outputs.findGroup(GroupId))
      Group->releaseHeldConnection(End.Release->Connection, End.Release->End,
                                   Now);
  }
  if (!Task)
    return;
  if (End.Reply) {
    reply(Task, GroupId, *End.Reply, Event, Now);
    return;
  }
  http_answer Answer;
  if (Event && Event->Results.size() > StatementResultIndex)
    Answer.Body = resultBody(Event->Results[StatementResultIndex]);
  Outputs.finishTask(*Task, std::move(Answer));
}

void transaction_runtime::reply(const request_task_ptr &Task,
                                const base::group_id &Group,
                                const groups::transaction_reply &Reply,
                                const backend::run_finished *Event,
                                base::time_point Now) {
  if (const auto *Refusal = std::get_if<groups::transaction_refusal>(&Reply)) {
    refuse(*Task, *Refusal, Event);
    return;
  }
  const auto *Finished = std::get_if<groups::transaction_finished>(&Reply);
  if (Finished && Finished->IsCommitted) {
    acknowledge(Task, Group, Finished->Position, Now);
    return;
  }
  http_answer Answer;
  Answer.Body = base::json{{"committed", false}}.dump();
  Outputs.finishTask(*Task, std::move(Answer));
}

void transaction_runtime::acknowledge(const request_task_ptr &Task,
                                      const base::group_id &Group,
                                      const groups::log_position &Position,
                                      base::time_point Now) {
  Task->AnswerBody = base::json{{"committed", true}}.dump();
  if (group_runtime *Runtime = Outputs.findGroup(Group))
    Runtime->acknowledgeCommit(Task, Position, Now);
  else
    refuse(*Task, detail::outcomeUnknownProblem("the group is gone",
                                                "await majority", Group.str()));
}

void transaction_runtime::refuse(request_task &Task, const problem &Problem) {
  Outputs.finishTask(Task, problemAnswer(0, Problem));
}

void transaction_runtime::refuse(request_task &Task,
                                 const groups::transaction_refusal &Refusal,
                                 const backend::run_finished *Event) {
  problem Problem{
      codeOf(Refusal.Code), Refusal.Ran, Refusal.Code.message(), Step, "", 0};
  if (Event && Event->Failure) {
    if (!Event->SqlState.empty())
      Problem.Detail = Event->Failure.Detail;
    Problem.Step = Event->Failure.Step;
    Problem.Peer = Event->Failure.Peer;
  }
  if (Problem.Code == problem_code::Overloaded)
    Problem.RetryAfterSeconds = 1;
  refuse(Task, Problem);
}

void transaction_runtime::tick(base::time_point Now) {
  for (const groups::transaction_end &End : Table.expire(Now)) {
    if (!End.Release)
      continue;
    std::uint64_t Number = End.Release->Transaction;
    request_task_ptr Task =
        std::exchange(HeldConnections.at(Number).Current, nullptr);
    applyEnd(Number, End, Task, nullptr, Now);
  }
  dropExpiredGroups(Now);
}

void transaction_runtime::dropExpiredGroups(base::time_point Now) {
  while (!EndOrder.empty() && (EndOrder.front().KeptUntil <= Now ||
                               EndOrder.size() > Limits.MaxOutcomes)) {
    GroupsByNumber.erase(EndOrder.front().Number);
    EndOrder.pop_front();
  }
}

base::time_point transaction_runtime::nextWake() const {
  return Table.nextDeadline().value_or(base::time_point::max());
}

} // namespace radishrelay::daemon
