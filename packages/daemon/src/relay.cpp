#include "radishrelay/daemon/relay.h"

#include "radishrelay/groups/session_error.h"

#include <Poco/Timestamp.h>

#include <algorithm>

namespace radishrelay::daemon {

namespace {

constexpr base::duration ConfigurationReadInterval =
    std::chrono::milliseconds(500);
/// Connections that stay free for the operators of a backend server.
constexpr std::int64_t ReservedConnections = 2;
constexpr std::uint64_t ConfigurationReadId = 0;

std::uint32_t quotaOf(const fleet::configuration_document &Document,
                      const fleet::database_group &Group) {
  std::int64_t Quota =
      (Group.Connections - ReservedConnections) / Document.SlotCount;
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Quota, 0));
}

std::string codeLabel(const http_answer &Answer) {
  return std::to_string(Answer.Status);
}

} // namespace

relay::relay(relay_options Options, relay_outputs &Outputs,
             base::metrics_registry &Metrics)
    : Options(std::move(Options)), Outputs(Outputs), Metrics(Metrics),
      Transactions(this->Options.Host, this->Options.Incarnation, *this),
      Forwarder(Outputs) {}

void relay::handle(relay_event &&Event, base::time_point Time) {
  Now = Time;
  std::visit([this](auto &&Content) { on(std::move(Content)); },
             std::move(Event));
}

void relay::tick(base::time_point Time) {
  Now = Time;
  if (Now >= NextConfigurationRead) {
    NextConfigurationRead = Now + ConfigurationReadInterval;
    Outputs.submitToPlatform(
        {platform_duty::Configuration, ConfigurationReadId,
         base::store_request(base::read_row{{"configuration", "current"}}),
         Now + Options.PlatformTimeout});
  }
  Transactions.tick(Now);
  for (auto &[Id, Group] : Groups)
    Group.Runtime->tick(Now);
}

base::time_point relay::nextWake() const {
  base::time_point Wake =
      std::min(NextConfigurationRead, Transactions.nextWake());
  for (const auto &[Id, Group] : Groups)
    Wake = std::min(Wake, Group.Runtime->nextWake());
  return Wake;
}

void relay::on(caller_request &&Request) {
  if (TasksByCaller.size() >= Options.MaxRequestsInFlight) {
    refuse(Request, {problem_code::Overloaded, groups::ran_state::No,
                     "too many requests in flight", "admit request", "", 1});
    return;
  }
  if (!Request.Transaction.empty()) {
    runInTransaction(std::move(Request));
    return;
  }
  auto Group = Groups.find(Request.Group);
  if (Group == Groups.end()) {
    refuse(Request, {problem_code::RouteUnknown, groups::ran_state::No,
                     "the route's group is gone", "admit request", "", 0});
    return;
  }
  request_task_ptr Task(new request_task(++LastTask, std::move(Request)));
  if (!decodeSession(*Task))
    return;
  TasksByCaller[Task->Request.Connection] = Task;
  Group->second.Runtime->submit(Task, Now);
}

bool relay::decodeSession(request_task &Task) {
  Task.Session.Account = Task.Request.account();
  Task.Session.IssuedAtMs = Poco::Timestamp().epochMicroseconds() / 1000;
  if (!Task.Request.Session.empty()) {
    auto Session = Task.Request.View->Sessions.decode(Task.Request.Session,
                                                      Task.Request.account());
    if (!Session) {
      refuse(Task.Request,
             {problem_code::SessionTokenInvalid, groups::ran_state::No,
              Session.error().Code.message(), "decode session token", "", 0});
      return false;
    }
    Task.Session = std::move(*Session);
  }
  if (!Task.Request.Route)
    return true;
  const fleet::route &Route = *Task.Request.Route;
  Task.Read.Deadline = Task.Request.Deadline;
  Task.Read.Required = Task.Session.requirementFor(Task.Request.Group);
  if (Route.MaxAge)
    Task.Read.MaxAge = *Route.MaxAge;
  else
    Task.Read.Required.NeedsConfirmedPrimary = true;
  return true;
}

void relay::on(caller_gone &&Event) {
  auto Found = TasksByCaller.find(Event.Connection);
  if (Found == TasksByCaller.end())
    return;
  request_task_ptr Task = Found->second;
  // What runs in a transaction ends with it.
  if (!Task->Request.Transaction.empty())
    return;
  Groups.at(Task->Request.Group).Runtime->cancel(*Task, Now);
}

void relay::on(backend::backend_event &&Event) {
  groups::connection_number Connection =
      std::visit([](const auto &Content) { return Content.Connection; }, Event);
  auto Found = GroupsBySerial.find(group_runtime::serialOf(Connection));
  if (Found != GroupsBySerial.end())
    Found->second->onBackend(Event, Now);
}

void relay::on(platform_event &&Event) {
  auto *Finished = std::get_if<store_finished>(&Event);
  if (!Finished)
    return;
  if (Finished->Duty == platform_duty::Configuration) {
    const base::store_answer &Answer = Finished->Answer;
    if (Answer.Outcome != base::store_outcome::Done || Answer.Rows.empty())
      return;
    auto Document = fleet::parseConfiguration(Answer.Rows[0].Value);
    if (!Document)
      return;
    if (!View || Document->Version > View->Configuration.version())
      adopt(std::make_shared<const fleet::configuration_document>(
          std::move(*Document)));
    return;
  }
  auto Call = StoreCalls.extract(Finished->Id);
  if (!Call)
    return;
  auto [Group, Id] = Call.mapped();
  Group->onStore({Id, std::move(Finished->Answer)}, Now);
}

void relay::on(datagram_received &&) {}

void relay::on(peer_call_received &&Event) {
  if (Event.Method == peer_method::Forward) {
    acceptForwarded(Event);
    return;
  }
  Outputs.replyToPeer(Event.Reply, base::json::object());
}

void relay::on(peer_call_finished &&Event) {
  if (auto Ended = Forwarder.finish(Event))
    finishTask(*Ended->Task, std::move(Ended->Answer));
}

void relay::on(operator_request_received &&Event) {
  operator_reply Reply;
  Reply.Body = dump().dump(2) + "\n";
  Outputs.replyToOperator(Event.Reply, std::move(Reply));
}

void relay::on(stop_requested &&) { Outputs.finished(); }

void relay::adopt(const fleet::configuration_pointer &Document) {
  auto Next = makeServiceView(Document);
  if (!Next) {
    Outputs.log(base::log_level::Error, "configuration not usable",
                base::logFields(Next.error()));
    return;
  }
  View = *Next;
  updateGroups(*Document);
  Outputs.publishView(View);
  base::json Fields = base::json::object();
  Fields["version"] = Document->Version;
  Outputs.log(base::log_level::Info, "configuration adopted", Fields);
  Outputs.log(base::log_level::Info, "ready", Fields);
}

void relay::updateGroups(const fleet::configuration_document &Document) {
  for (const fleet::database_group &Group : Document.Groups) {
    auto Known = Groups.find(Group.Id);
    std::uint32_t Quota = quotaOf(Document, Group);
    if (Known != Groups.end() && Known->second.Definition == Group)
      continue;
    if (Known != Groups.end())
      continue;
    group_runtime_options Settings{Group,
                                   Options.Host,
                                   Options.FailureDomain,
                                   Options.Incarnation,
                                   Quota,
                                   ++LastGroupSerial,
                                   Options.Seed + LastGroupSerial};
    auto Runtime = std::make_unique<group_runtime>(
        Settings, static_cast<group_outputs &>(*this));
    GroupsBySerial[LastGroupSerial] = Runtime.get();
    Runtime->useTransactions(Transactions);
    Runtime->tick(Now);
    Groups[Group.Id] = {Group, std::move(Runtime)};
  }
}

void relay::refuse(const caller_request &Request, problem Problem) {
  countRefusal(Request.account(), Problem.Code);
  http_answer Answer = problemAnswer(Request.Connection, Problem);
  if (!Forwarder.replyToPeer(Answer, Request.ReceivedAt))
    Outputs.answerCaller(std::move(Answer));
}

void relay::countRefusal(const base::account_id &Account, problem_code Code) {
  (void)Account;
  Metrics.increment({"radishrelay_requests_refused_total", "code",
                     std::string(codeName(Code))});
}

void relay::finishTask(request_task &Task, http_answer &&Answer) {
  Answer.Connection = Task.Request.Connection;
  Metrics.increment(
      {"radishrelay_requests_total", "status", codeLabel(Answer)});
  Metrics.observe({"radishrelay_request_seconds"},
                  Now - Task.Request.ReceivedAt);
  TasksByCaller.erase(Task.Request.Connection);
  if (!Forwarder.replyToPeer(Answer, Task.Request.ReceivedAt))
    Outputs.answerCaller(std::move(Answer));
}

bool relay::submitToBackend(backend::backend_command &&Command) {
  return Outputs.submitToBackend(std::move(Command));
}

void relay::submitToStore(group_runtime &Group,
                          const groups::store_call &Call) {
  std::uint64_t Id = ++LastStoreCall;
  StoreCalls.emplace(Id, std::pair(&Group, Call.Id));
  Outputs.submitToPlatform(
      {platform_duty::Groups, Id, Call.Request, Call.Deadline});
}

void relay::sendSuspicion(const groups::suspicion &Suspicion) {
  (void)Suspicion;
}

void relay::log(base::log_level Level, std::string_view Event,
                const base::json &Fields) {
  Outputs.log(Level, Event, Fields);
}

base::json relay::dump() const {
  base::json Dump = base::json::object();
  Dump["host"] = Options.Host.str();
  Dump["incarnation"] = Options.Incarnation;
  Dump["configuration_version"] = View ? View->Configuration.version() : 0;
  Dump["requests_in_flight"] = TasksByCaller.size();
  Dump["groups"] = base::json::array();
  for (const auto &[Id, Group] : Groups)
    Dump["groups"].push_back(Group.Runtime->dump());
  Dump["transactions"] = Transactions.dump();
  Dump["metrics"] = Metrics.dump();
  return Dump;
}

} // namespace radishrelay::daemon
