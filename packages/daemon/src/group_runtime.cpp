#include "radishrelay/daemon/group_runtime.h"

#include "radishrelay/groups/stored_term_majority_strategy.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

/// Layout of a connection number: bits 40 and up hold the serial of the group,
/// bits 32 to 39 the index of the instance.
constexpr unsigned GroupShift = 40;
constexpr unsigned InstanceShift = 32;
constexpr std::uint64_t InstanceMask = 0xff;

/// Network distance assumed for an instance until it is measured.
constexpr base::duration SameDomainDistance = std::chrono::microseconds(200);
constexpr base::duration OtherDomainDistance = std::chrono::milliseconds(2);

constexpr base::duration InitialServiceTime = std::chrono::milliseconds(1);

instance_link_options linkOptions(const group_runtime_options &Options,
                                  std::size_t Index) {
  const fleet::backend_instance &Instance = Options.Group.Instances[Index];
  groups::connection_pool_options Pool;
  Pool.Quota = Options.Quota;
  Pool.FirstNumber = (Options.Serial << GroupShift) |
                     (std::uint64_t(Index) << InstanceShift) | 1;
  Pool.Seed = Options.Seed + Index;
  return {Instance.Id, Instance.Address, Options.Group.Id.str(), Pool};
}

groups::failover_options failoverOptions(const group_runtime_options &Options) {
  groups::failover_options Failover;
  Failover.Group = Options.Group.Id;
  for (const fleet::backend_instance &Instance : Options.Group.Instances)
    Failover.Instances.push_back(Instance.Id);
  Failover.Host = Options.Host;
  Failover.FailureDomain = Options.FailureDomain;
  Failover.Incarnation = Options.Incarnation;
  return Failover;
}

/// Whether \p Task may have run. A waiting task is not always "not run": a
/// keyed write waits again after an attempt that may have taken effect.
groups::ran_state ranState(const request_task &Task) {
  return Task.MayHaveRun ? groups::ran_state::Unknown : groups::ran_state::No;
}

/// Number of connections for requests: all but the control connection, and at
/// least one.
std::size_t workQuota(std::uint32_t Quota) {
  return std::max<std::size_t>(1, Quota > 0 ? Quota - 1 : 0);
}

} // namespace

group_runtime::instance_state::instance_state(instance_link_options LinkOptions,
                                              group_outputs &Outputs)
    : Link(std::move(LinkOptions), Outputs),
      Limit({.Maximum = workQuota(Link.options().Pool.Quota)}),
      MeanService(InitialServiceTime) {}

group_runtime::group_runtime(const group_runtime_options &Options,
                             group_outputs &Outputs)
    : Options(Options), Outputs(Outputs),
      Strategy(std::make_shared<groups::stored_term_majority_strategy>()),
      Failover(failoverOptions(Options), Strategy,
               base::random_generator(Options.Seed)),
      Tracker({}, Strategy, failoverOptions(Options).Instances) {
  for (std::size_t Index = 0; Index < Options.Group.Instances.size(); ++Index) {
    Instances.push_back(
        std::make_unique<instance_state>(linkOptions(Options, Index), Outputs));
    const fleet::backend_instance &Instance = Options.Group.Instances[Index];
    bool IsNear = Instance.FailureDomain == Options.FailureDomain;
    Router.setInstance(Instance.Id,
                       IsNear ? SameDomainDistance : OtherDomainDistance);
  }
}

std::uint64_t group_runtime::serialOf(groups::connection_number Connection) {
  return Connection >> GroupShift;
}

std::size_t
group_runtime::instanceOf(groups::connection_number Connection) const {
  return (Connection >> InstanceShift) & InstanceMask;
}

std::optional<std::size_t>
group_runtime::indexOf(const base::instance_id &Instance) const {
  for (std::size_t Index = 0; Index < Instances.size(); ++Index)
    if (Instances[Index]->Link.options().Instance == Instance)
      return Index;
  return std::nullopt;
}

std::optional<std::size_t> group_runtime::primary() const {
  const groups::group_view &View = Failover.view();
  if (!View.Primary)
    return std::nullopt;
  return indexOf(*View.Primary);
}

request_task_ptr group_runtime::findTask(task_id Id) const {
  auto Found = Tasks.find(Id);
  return Found == Tasks.end() ? nullptr : Found->second;
}

void group_runtime::submit(const request_task_ptr &Task, base::time_point Now) {
  Tasks.emplace(Task->Id, Task);
  if (Task->isRead())
    decideRead(Task, Now);
  else
    startWrite(Task, Now);
  deliverAnswers(Now);
}

void group_runtime::cancel(request_task &Task, base::time_point Now) {
  Task.IsCallerDisconnected = true;
  // An attempt may have taken effect. The task continues, since its retry
  // determines the outcome.
  if (Task.MayHaveRun)
    return;
  bool HasNotRun = Task.Stage == task_stage::WaitingForInstance;
  if (Task.Stage == task_stage::Queued)
    HasNotRun = Instances[Task.Instance]->Queue.remove(Task.Id);
  if (!HasNotRun)
    return;
  refuse(Task, {problem_code::QueueDeadline, groups::ran_state::No,
                "the caller has gone", "wait for instance", "", 0});
  deliverAnswers(Now);
}

void group_runtime::onBackend(const backend::backend_event &Event,
                              base::time_point Now) {
  if (const auto *Opened = std::get_if<backend::connection_opened>(&Event)) {
    std::size_t Index = instanceOf(Opened->Connection);
    Instances[Index]->Link.onOpened(Opened->Connection, Now);
    startQueued(Index, Now);
  } else if (const auto *Closed =
                 std::get_if<backend::connection_closed>(&Event)) {
    std::size_t Index = instanceOf(Closed->Connection);
    Instances[Index]->Link.onClosed(Closed->Connection, Now);
    if (Transactions)
      Transactions->onConnectionClosed(Closed->Connection, Now);
    startQueued(Index, Now);
  } else {
    onRunFinished(std::get<backend::run_finished>(Event), Now);
  }
  deliverAnswers(Now);
}

void group_runtime::onRunFinished(const backend::run_finished &Event,
                                  base::time_point Now) {
  std::size_t Index = instanceOf(Event.Connection);
  if (Instances[Index]->Link.onRunFinished(Event, Now)) {
    startQueued(Index, Now);
    return;
  }
  auto Found = Runs.extract(Event.Run);
  if (!Found)
    return;
  request_task_ptr Task = std::move(Found.mapped());
  Task->MayHaveRun = Task->MayHaveRun || Event.MayHaveReached;
  endRun(Task, Event, Now);
  startQueued(Index, Now);
}

void group_runtime::endRun(const request_task_ptr &Task,
                           const backend::run_finished &Event,
                           base::time_point Now) {
  if (Transactions && !Task->Request.Transaction.empty())
    Transactions->onHeldRunFinished(Task, Event, Now);
  else if (Task->Request.Operation == caller_operation::OpenTransaction)
    finishOpen(Task, Event, Now);
  else if (Task->isRead())
    finishRead(Task, Event, Now);
  else
    finishWrite(Task, Event, Now);
}

void group_runtime::onStore(const groups::store_call_answer &Answer,
                            base::time_point Now) {
  apply(Failover.handle(Answer, Now), Now);
  deliverAnswers(Now);
}

void group_runtime::onVote(const groups::promotion_vote &Vote,
                           base::time_point Now) {
  apply(Failover.handle(Vote, Now), Now);
  deliverAnswers(Now);
}

void group_runtime::onReachable(const groups::reachable_domains &Domains,
                                base::time_point Now) {
  apply(Failover.handle(Domains, Now), Now);
  deliverAnswers(Now);
}

void group_runtime::setLeaving(const base::instance_id &Instance, bool Leaving,
                               base::time_point Now) {
  std::optional<std::size_t> Index = indexOf(Instance);
  if (!Index || Instances[*Index]->Leaving == Leaving)
    return;
  Instances[*Index]->Leaving = Leaving;
  Router.setLeaving(Instance, Leaving);
  updateLeaving(Now);
}

void group_runtime::updateLeaving(base::time_point Now) {
  // A leaving primary keeps the writes until another instance is promoted,
  // since no other instance can run them. While no primary is known, the former
  // one counts as leaving, until it is known as the primary again.
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    bool IsPrimary = KnownPrimary == Index;
    Instances[Index]->Link.setLeaving(Instances[Index]->Leaving && !IsPrimary,
                                      Now);
  }
}

void group_runtime::setQuota(std::uint32_t Quota, base::time_point Now) {
  for (std::unique_ptr<instance_state> &Instance : Instances) {
    Instance->Link.setQuota(Quota, Now);
    Instance->Limit.setMaximum(workQuota(Quota));
  }
  deliverAnswers(Now);
}

std::size_t group_runtime::connectionCount() const {
  std::size_t Count = 0;
  for (const std::unique_ptr<instance_state> &Instance : Instances)
    Count += Instance->Link.connectionCount();
  return Count;
}

void group_runtime::tick(base::time_point Now) {
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    instance_state &Instance = *Instances[Index];
    Instance.Link.tick(Now);
    for (const groups::queued_request &Expired :
         Instance.Queue.takeExpired(Now))
      if (request_task_ptr Task = findTask(Expired.Id))
        refuse(*Task,
               {problem_code::QueueDeadline, ranState(*Task),
                "the deadline passed in the queue", "wait for connection",
                Instance.Link.options().Instance.str(), 1});
    startQueued(Index, Now);
  }
  apply(Failover.handle(groups::time_passed{}, Now), Now);
  apply(Tracker.handle(groups::time_passed{}, Now), Now);
  wakeWaiting(Now);
  deliverAnswers(Now);
}

base::time_point group_runtime::nextWake() const {
  base::time_point Wake = Failover.nextWake();
  auto Include = [&Wake](std::optional<base::time_point> Time) {
    if (Time)
      Wake = std::min(Wake, *Time);
  };
  Include(Tracker.nextWake());
  for (const std::unique_ptr<instance_state> &Instance : Instances) {
    Include(Instance->Link.nextWake());
    Include(Instance->Queue.nextDeadline());
  }
  for (const auto &[Id, Task] : Waiting)
    Include(Task->WakeAt);
  return Wake;
}

void group_runtime::succeed(request_task &Task,
                            std::optional<base::time_point> ValidUntil) {
  http_answer Answer;
  Answer.Body = Task.AnswerBody;
  Answer.ValidUntil = ValidUntil;
  Task.Session.merge(Options.Group.Id, Task.SessionPosition);
  auto Token = Task.Request.View->Sessions.encode(Task.Session);
  if (Token)
    Answer.Headers.push_back({"Radishrelay-Session", *Token});
  Answer.Headers.push_back({"Radishrelay-Served-By", servedBy(Task)});
  if (Task.IsRepeatedAnswer)
    Answer.Headers.push_back({"Radishrelay-Repeated", "true"});
  end(Task, std::move(Answer));
}

std::string group_runtime::servedBy(const request_task &Task) const {
  const base::instance_id &Instance =
      Instances[Task.Instance]->Link.options().Instance;
  bool IsPrimary = Failover.view().Primary == Instance;
  return Instance.str() + (IsPrimary ? "; role=primary" : "; role=replica");
}

void group_runtime::refuse(request_task &Task, const problem &Problem) {
  end(Task, problemAnswer(0, Problem));
}

void group_runtime::end(request_task &Task, http_answer &&Answer) {
  request_task_ptr Keep(&Task);
  Task.Stage = task_stage::Ended;
  Waiting.erase(Task.Id);
  Tasks.erase(Task.Id);
  Outputs.finishTask(Task, std::move(Answer));
}

base::json group_runtime::dump() const {
  base::json Dump = base::json::object();
  Dump["group"] = Options.Group.Id.str();
  Dump["tasks"] = Tasks.size();
  Dump["waiting_for_instance"] = Waiting.size();
  Dump["failover"] = Failover.dump();
  Dump["acknowledgement"] = Tracker.dump();
  Dump["reads"] = Router.dump();
  Dump["instances"] = base::json::array();
  for (const std::unique_ptr<instance_state> &Instance : Instances) {
    base::json Entry = Instance->Link.dump();
    Entry["queue"] = Instance->Queue.dump();
    Entry["limit"] = Instance->Limit.dump();
    Entry["running"] = Instance->Running;
    Entry["mean_service_us"] = Instance->MeanService.count();
    Entry["leaving"] = Instance->Leaving;
    Dump["instances"].push_back(std::move(Entry));
  }
  return Dump;
}

} // namespace radishrelay::daemon
