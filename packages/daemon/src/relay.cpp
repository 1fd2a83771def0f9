#include "radishrelay/daemon/relay.h"

#include "radishrelay/groups/session_error.h"

#include <Poco/Timestamp.h>

#include <algorithm>

namespace radishrelay::daemon {

namespace {

constexpr base::duration HostListInterval = std::chrono::seconds(2);
constexpr std::int64_t MicrosecondsPerMillisecond = 1000;
constexpr std::int64_t MicrosecondsPerMinute = 60'000'000;

fleet::member_update selfAsMember(const relay_options &Options) {
  return {Options.Host, Options.FailureDomain, Options.PeerAddress,
          Options.Incarnation, fleet::member_state::Live};
}

std::int64_t secondsUntil(base::time_point Time, base::time_point Now) {
  auto Left = std::chrono::ceil<std::chrono::seconds>(Time - Now);
  return std::max<std::int64_t>(1, Left.count());
}

accounts::audit_outcome auditOutcome(problem_code Code) {
  switch (Code) {
  case problem_code::RateExceeded:
    return accounts::audit_outcome::RateExceeded;
  case problem_code::KeyInvalid:
    return accounts::audit_outcome::KeyInvalid;
  case problem_code::RouteForbidden:
    return accounts::audit_outcome::RouteForbidden;
  case problem_code::ConfigurationStale:
    return accounts::audit_outcome::ConfigurationStale;
  case problem_code::QueueDeadline:
    return accounts::audit_outcome::QueueDeadline;
  case problem_code::Draining:
    return accounts::audit_outcome::Draining;
  default:
    return accounts::audit_outcome::OtherRefusal;
  }
}

} // namespace

relay::relay(const relay_options &Options, relay_outputs &Outputs,
             base::metrics_registry &Metrics, base::time_point StartedAt)
    : Options(Options), Outputs(Outputs), Metrics(Metrics), Now(StartedAt),
      Fleet(selfAsMember(Options), Options.Seed, Options.JoinAddresses,
            StartedAt, *this),
      Limits({Options.Host, Options.FailureDomain, Options.Incarnation}, *this),
      Drain(Options.Drain),
      Transactions(Options.Host, std::to_string(Options.Incarnation), *this),
      Forwarder(Outputs) {
  onMembersChanged();
}

void relay::handle(relay_event &&Event, base::time_point Time) {
  Now = Time;
  std::visit([this](auto &Content) { on(std::move(Content)); }, Event);
}

void relay::tick(base::time_point Time) {
  Now = Time;
  Fleet.tick(Now);
  Limits.tick(Now);
  if (Now >= NextHostListRead) {
    NextHostListRead = Now + HostListInterval;
    Outputs.submitToPlatform({platform_channel::Hosts, 0, read_host_list{},
                              Now + Options.PlatformTimeout});
  }
  if (HeldSlot != Limits.holdsSlot(Now))
    updateQuotas();
  Transactions.tick(Now);
  for (auto &[Id, Group] : Groups)
    if (Group.Runtime->nextWake() <= Now)
      Group.Runtime->tick(Now);
  removeRetired();
  reportReady();
  advanceDrain();
}

base::time_point relay::nextWake() const {
  base::time_point Wake = std::min(Fleet.nextWake(), Limits.nextWake());
  Wake = std::min(Wake, Transactions.nextWake());
  for (const auto &[Id, Group] : Groups)
    Wake = std::min(Wake, Group.Runtime->nextWake());
  return Wake;
}

std::optional<problem>
relay::checkRequest(const caller_request &Request) const {
  auto Refusal = [](problem_code Code, std::string Detail, std::int64_t Retry) {
    return problem{
        Code, groups::ran_state::No, std::move(Detail), "admit request", "",
        Retry};
  };
  bool NeedsFreshConfiguration =
      Request.Key && !(Request.Route && Request.Route->Open);
  // Requests in open transactions are still served during a drain.
  if (!Drain.acceptsWork() && Request.Transaction.empty())
    return Refusal(problem_code::Draining, "the host is shutting down", 1);
  if (NeedsFreshConfiguration && !Fleet.isFresh(Now))
    return Refusal(problem_code::ConfigurationStale,
                   "no recent contact with the store or the witnesses", 1);
  if (Request.Key && !isKeyActive(*Request.Key))
    return problem{problem_code::KeyInvalid,
                   groups::ran_state::No,
                   "unknown or withdrawn key",
                   "verify key",
                   "",
                   0};
  if (TasksByCaller.size() >= Options.MaxRequestsInFlight)
    return Refusal(problem_code::Overloaded, "too many requests in flight", 1);
  if (Request.Transaction.empty() && !Groups.count(Request.Group))
    return Refusal(problem_code::RouteUnknown, "the route's group is gone", 0);
  return std::nullopt;
}

bool relay::isKeyActive(const accounts::verified_key &Key) const {
  // The listener may have verified the key against an older configuration.
  fleet::configuration_index::key_entry Entry =
      View->Configuration.findKey(Key.KeyId);
  return Entry.Account && Entry.Account->Id == Key.Account;
}

void relay::on(caller_request &&Request) {
  if (std::optional<problem> Problem = checkRequest(Request)) {
    refuse(Request, *Problem);
    return;
  }
  // A commit or rollback takes no token of the rate limit: a refusal would make
  // the transaction hold its connection longer.
  if (Request.Operation == caller_operation::CommitTransaction ||
      Request.Operation == caller_operation::RollbackTransaction) {
    runInTransaction(std::move(Request));
    return;
  }
  request_task_ptr Task(new request_task(++LastTask, std::move(Request)));
  if (!decodeSession(*Task))
    return;
  TasksByCaller[Task->Request.Connection] = Task;
  if (!Task->Request.Key) {
    route(Task);
    return;
  }
  AwaitingAdmission[Task->Id] = Task;
  Limits.admit(Task->Id, Task->Request.account(), Task->Request.Deadline, Now);
}

void relay::onAdmission(accounts::request_number Request,
                        const accounts::admission &Admission) {
  auto Found = AwaitingAdmission.extract(Request);
  if (!Found)
    return;
  request_task_ptr Task = std::move(Found.mapped());
  const auto *Admitted = std::get_if<accounts::admitted>(&Admission);
  if (Admitted && clock() <= Admitted->ValidUntil) {
    count(Task->Request.account(), accounts::audit_outcome::Admitted);
    route(Task);
    return;
  }
  std::int64_t Retry = 1;
  if (const auto *Refused = std::get_if<accounts::refused>(&Admission))
    Retry = secondsUntil(Refused->RetryAt, Now);
  TasksByCaller.erase(Task->Request.Connection);
  refuse(Task->Request, {problem_code::RateExceeded, groups::ran_state::No,
                         "the rate and burst of the client account are used up",
                         "admit request", "", Retry});
}

void relay::route(const request_task_ptr &Task) {
  if (!Task->Request.Transaction.empty()) {
    Transactions.submit(Task, Now);
    return;
  }
  auto Group = Groups.find(Task->Request.Group);
  if (Group == Groups.end()) {
    TasksByCaller.erase(Task->Request.Connection);
    refuse(Task->Request,
           {problem_code::RouteUnknown, groups::ran_state::No,
            "the route's group is gone", "admit request", "", 0});
    return;
  }
  Group->second.Runtime->submit(Task, Now);
}

bool relay::decodeSession(request_task &Task) {
  Task.Session.Account = Task.Request.account();
  Task.Session.IssuedAtMs =
      Poco::Timestamp().epochMicroseconds() / MicrosecondsPerMillisecond;
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
  Task.Read.Deadline = Task.Request.Deadline;
  Task.Read.Required = Task.Session.requirementFor(Task.Request.Group);
  const fleet::route *Route = Task.Request.Route;
  // A route without a maximum age needs a current result: the primary runs the
  // read, and a majority confirms afterwards that it still was the primary.
  if (Route && Route->MaxAge)
    Task.Read.MaxAge = *Route->MaxAge;
  else
    Task.Read.Required.NeedsConfirmedPrimary = true;
  return true;
}

void relay::on(caller_disconnected &&Event) {
  auto Found = TasksByCaller.find(Event.Connection);
  if (Found == TasksByCaller.end())
    return;
  request_task_ptr Task = Found->second;
  if (AwaitingAdmission.erase(Task->Id)) {
    TasksByCaller.erase(Found);
    return;
  }
  // A request in a transaction is not cancelled; it ends at the latest with the
  // transaction.
  if (!Task->Request.Transaction.empty())
    return;
  auto Group = Groups.find(Task->Request.Group);
  if (Group != Groups.end())
    Group->second.Runtime->cancel(*Task, Now);
}

void relay::on(backend::backend_event &&Event) {
  groups::connection_number Connection =
      std::visit([](const auto &Content) { return Content.Connection; }, Event);
  auto Found = GroupsBySerial.find(group_runtime::serialOf(Connection));
  if (Found != GroupsBySerial.end())
    Found->second->onBackend(Event, Now);
}

void relay::on(platform_event &&Event) {
  if (auto *List = std::get_if<host_list_read>(&Event)) {
    Fleet.onListedHosts(List->Hosts, Now);
    updateLeaving();
    return;
  }
  auto &Finished = std::get<store_finished>(Event);
  if (auto History = HistoryReads.extract(Finished.Id)) {
    finishHistory(History.mapped(), Finished.Answer);
  } else if (Finished.Channel == platform_channel::Configuration) {
    Fleet.onStore(Finished.Id, Finished.Answer, Now);
  } else if (Finished.Channel == platform_channel::Limits) {
    Limits.onStore(Finished.Id, Finished.Answer, Now);
  } else if (auto Call = StoreCalls.extract(Finished.Id)) {
    auto [Serial, Id] = Call.mapped();
    auto Group = GroupsBySerial.find(Serial);
    if (Group != GroupsBySerial.end())
      Group->second->onStore({Id, std::move(Finished.Answer)}, Now);
  }
}

void relay::refuse(const caller_request &Request, const problem &Problem) {
  count(Request.account(), auditOutcome(Problem.Code));
  Metrics.increment({"radishrelay_requests_refused_total", "code",
                     std::string(codeName(Problem.Code))});
  http_answer Answer = problemAnswer(Request.Connection, Problem);
  Answer.CloseConnection = !Drain.isReady();
  if (!Forwarder.replyToPeer(Answer, Request.ReceivedAt))
    Outputs.answerCaller(std::move(Answer));
}

void relay::count(const base::account_id &Account,
                  accounts::audit_outcome Outcome) {
  if (!Account.empty())
    Audit.count(Account, Outcome,
                Poco::Timestamp().epochMicroseconds() / MicrosecondsPerMinute);
}

void relay::finishTask(request_task &Task, http_answer &&Answer) {
  Answer.Connection = Task.Request.Connection;
  // During a drain, a caller that kept its connection would send its next
  // request to a host that is shutting down.
  Answer.CloseConnection = !Drain.isReady();
  Metrics.increment(
      {"radishrelay_requests_total", "status", std::to_string(Answer.Status)});
  Metrics.observe({"radishrelay_request_seconds"},
                  Now - Task.Request.ReceivedAt);
  TasksByCaller.erase(Task.Request.Connection);
  if (!Forwarder.replyToPeer(Answer, Task.Request.ReceivedAt))
    Outputs.answerCaller(std::move(Answer));
}

base::json relay::dump() const {
  base::json Dump = base::json::object();
  Dump["host"] = Options.Host.str();
  Dump["failure_domain"] = Options.FailureDomain.str();
  Dump["incarnation"] = Options.Incarnation;
  Dump["configuration_version"] = View ? View->Configuration.version() : 0;
  Dump["requests_in_flight"] = TasksByCaller.size();
  Dump["awaiting_admission"] = AwaitingAdmission.size();
  Dump["drain"] = Drain.dump();
  Dump["fleet"] = Fleet.dump(Now);
  Dump["limits"] = Limits.dump();
  Dump["transactions"] = Transactions.dump();
  Dump["groups"] = base::json::array();
  for (const auto &[Id, Group] : Groups)
    Dump["groups"].push_back(Group.Runtime->dump());
  Dump["metrics"] = Metrics.dump();
  return Dump;
}

} // namespace radishrelay::daemon
