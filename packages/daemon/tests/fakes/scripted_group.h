#ifndef RADISHRELAY_DAEMON_TESTS_FAKES_SCRIPTED_GROUP_H
#define RADISHRELAY_DAEMON_TESTS_FAKES_SCRIPTED_GROUP_H

#include "radishrelay/daemon/group_runtime.h"
#include "radishrelay/daemon/transaction_runtime.h"
#include "radishrelay/groups/request_statements.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace radishrelay::daemon::fakes {

/// Test double for the backend of a group of three instances. Status runs and
/// resets are answered at once; runs of requests wait in PendingRuns until the
/// test completes them. Time passes only in advanceTime().
class scripted_group : public group_outputs, public transaction_outputs {
public:
  scripted_group() : Group(options(), *this) {
    for (std::size_t Index = 0; Index < 3; ++Index)
      Statuses[Index] = {groups::instance_role::Replica,
                         {1, 10},
                         1,
                         {{1, 0}},
                         base::duration(0)};
    Statuses[0].Role = groups::instance_role::Primary;
    Group.useTransactions(Transactions);
    View = *makeServiceView(document());
    advanceTime(50);
  }

  // group_outputs and transaction_outputs
  void finishTask(request_task &Task, http_answer &&Answer) override {
    Answers[Task.Id] = std::move(Answer);
  }
  bool submitToBackend(backend::backend_command &&Command) override {
    Commands.push_back(std::move(Command));
    return true;
  }
  void submitToStore(group_runtime &, const groups::store_call &) override {}
  void sendVote(const groups::promotion_vote &) override {}
  backend::run_id nextRun() override { return ++LastRun; }
  void log(base::log_level, std::string_view, const base::json &) override {}
  bool forwardToHost(const base::host_id &Host,
                     const request_task_ptr &) override {
    ForwardedTo.push_back(Host.str());
    return IsHostReachable;
  }
  group_runtime *findGroup(const base::group_id &) override { return &Group; }

  request_task_ptr task(caller_request Request, int TimeoutMs = 1000) {
    Request.View = View;
    Request.Key = accounts::verified_key{base::account_id("installers"), "k"};
    Request.Group = base::group_id("permits");
    Request.ReceivedAt = Now;
    Request.Deadline = Now + std::chrono::milliseconds(TimeoutMs);
    request_task_ptr Task(new request_task(++LastTask, std::move(Request)));
    Task->Read.Deadline = Task->Request.Deadline;
    return Task;
  }

  request_task_ptr write(const std::string &Key = "", int TimeoutMs = 1000) {
    caller_request Request;
    Request.Route = View->Configuration.findRoute("file-permit");
    Request.IdempotencyKey = Key;
    request_task_ptr Task = task(std::move(Request), TimeoutMs);
    submit(Task);
    return Task;
  }

  request_task_ptr open(int TimeoutMs = 1000) {
    caller_request Request;
    Request.Operation = caller_operation::OpenTransaction;
    request_task_ptr Task = task(std::move(Request), TimeoutMs);
    submit(Task);
    return Task;
  }

  request_task_ptr inTransaction(caller_operation Operation,
                                 const std::string &Handle) {
    caller_request Request;
    Request.Operation = Operation;
    if (Operation == caller_operation::RunRoute)
      Request.Route = View->Configuration.findRoute("file-permit");
    Request.Transaction = Handle;
    request_task_ptr Task = task(std::move(Request));
    Transactions.submit(Task, Now);
    processCommands();
    return Task;
  }

  /// Opens a transaction whose BEGIN succeeds and returns its handle.
  std::string openedHandle(int TimeoutMs = 1000) {
    request_task_ptr Task = open(TimeoutMs);
    advanceTime(30);
    completeRun(1);
    return base::json::parse(Answers.at(Task->Id).Body)["transaction"];
  }

  void submit(const request_task_ptr &Task) {
    Group.submit(Task, Now);
    processCommands();
  }

  void advanceTime(int Milliseconds) {
    for (int Count = 0; Count < Milliseconds; ++Count) {
      Now += std::chrono::milliseconds(1);
      Transactions.tick(Now);
      Group.tick(Now);
      processCommands();
    }
  }

  /// Completes the oldest pending run; statement \p StatusIndex returns the
  /// status of its instance.
  void completeRun(std::size_t StatusIndex) {
    backend::run_finished Event = begin();
    for (std::size_t Index = 0; Index < CurrentRun.Statements.size(); ++Index)
      Event.Results.push_back(Index == StatusIndex
                                  ? statusOf(CurrentRun.Connection)
                                  : backend::result_set());
    finish(std::move(Event));
  }

  /// Completes the oldest pending run with an error. An empty \p SqlState means
  /// that the connection was lost after the run was sent.
  void failRun(const std::string &SqlState) {
    backend::run_finished Event = begin();
    Event.Failure.Code = std::make_error_code(std::errc::io_error);
    Event.SqlState = SqlState;
    finish(std::move(Event));
  }

  void close(groups::connection_number Connection) {
    Group.onBackend(backend::connection_closed{Connection, {}}, Now);
    processCommands();
  }

  [[nodiscard]] std::string ran(const request_task_ptr &Task) const {
    return base::json::parse(Answers.at(Task->Id).Body).value("ran", "");
  }
  [[nodiscard]] std::string code(const request_task_ptr &Task) const {
    return base::json::parse(Answers.at(Task->Id).Body).value("code", "");
  }
  [[nodiscard]] bool answered(const request_task_ptr &Task) const {
    return Answers.count(Task->Id) > 0;
  }
  static std::size_t instanceOf(groups::connection_number Connection) {
    return (Connection >> 32U) & 0xffU;
  }

  base::time_point Now = base::fromMicroseconds(1'000'000);
  std::map<std::size_t, groups::instance_status> Statuses;
  std::deque<backend::run_statements> PendingRuns;
  std::vector<std::string> Resets;
  std::vector<std::string> ForwardedTo;
  bool AcceptsConnections = true;
  bool IsHostReachable = true;
  std::map<task_id, http_answer> Answers;
  service_view_ptr View;
  transaction_runtime Transactions{base::host_id("h1"), "a1", *this};
  group_runtime Group;

private:
  static group_runtime_options options() {
    group_runtime_options Options;
    Options.Group.Id = base::group_id("permits");
    for (const char *Name : {"p1", "p2", "p3"}) {
      fleet::backend_instance Instance;
      Instance.Id = base::instance_id(Name);
      Options.Group.Instances.push_back(Instance);
    }
    Options.Host = base::host_id("h1");
    Options.Serial = 1;
    return Options;
  }

  static fleet::configuration_pointer document() {
    auto Document = std::make_shared<fleet::configuration_document>();
    Document->SessionKeys.push_back({"s1", "secret"});
    fleet::route Route;
    Route.Name = "file-permit";
    Route.Group = base::group_id("permits");
    Route.Kind = fleet::route_kind::Write;
    Route.Statement = "INSERT";
    Document->Routes.push_back(Route);
    return Document;
  }

  backend::result_set statusOf(groups::connection_number Connection) const {
    backend::result_set Result;
    Result.Columns = {"group_status"};
    Result.Rows = {
        {groups::formatInstanceStatus(Statuses.at(instanceOf(Connection)))}};
    return Result;
  }

  backend::run_finished begin() {
    CurrentRun = std::move(PendingRuns.at(0));
    PendingRuns.pop_front();
    backend::run_finished Event;
    Event.Connection = CurrentRun.Connection;
    Event.Run = CurrentRun.Run;
    Event.MayHaveReached = true;
    Event.SentAt = Now;
    return Event;
  }

  void finish(backend::run_finished &&Event) {
    Group.onBackend(std::move(Event), Now);
    processCommands();
  }

  void processCommands() {
    while (!Commands.empty()) {
      backend::backend_command Command = std::move(Commands.front());
      Commands.pop_front();
      std::visit([this](auto &Content) { handle(Content); }, Command);
    }
  }

  void handle(const backend::open_connection &Command) {
    if (AcceptsConnections)
      Group.onBackend(backend::connection_opened{Command.Connection}, Now);
  }
  void handle(const backend::close_connection &Command) {
    Group.onBackend(backend::connection_closed{Command.Connection, {}}, Now);
  }
  void handle(backend::run_statements &Command) {
    const std::string &Text = Command.Statements.at(0).Text;
    bool IsReset = Text == "DISCARD ALL" ||
                   (Text == "ROLLBACK" && Command.Statements.size() == 1 &&
                    !IsRollbackRequest);
    bool IsStatus = Command.Statements.size() == 1 &&
                    Text == groups::request_statements::groupStatus().Text;
    if (!IsReset && !IsStatus) {
      PendingRuns.push_back(std::move(Command));
      return;
    }
    if (IsReset)
      Resets.push_back(Text);
    backend::run_finished Event;
    Event.Connection = Command.Connection;
    Event.Run = Command.Run;
    Event.MayHaveReached = true;
    Event.SentAt = Now;
    Event.Results.push_back(IsStatus ? statusOf(Command.Connection)
                                     : backend::result_set());
    Group.onBackend(std::move(Event), Now);
  }

  std::deque<backend::backend_command> Commands;
  backend::run_statements CurrentRun;
  backend::run_id LastRun = 0;
  task_id LastTask = 0;

public:
  /// True while a caller's rollback runs, since its statements equal those of a
  /// reset and it must not be answered as one.
  bool IsRollbackRequest = false;
};

} // namespace radishrelay::daemon::fakes

#endif
