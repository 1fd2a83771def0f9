#include "radishrelay/daemon/group_runtime.h"

namespace radishrelay::daemon {

namespace {

/// How long a status that came with a request's run counts as evidence.
constexpr base::duration EvidenceLifetime = std::chrono::milliseconds(200);

} // namespace

void group_runtime::settle(base::time_point Now) {
  // Deliveries may lead to calls that end at once; the outer loop takes them.
  if (Settling)
    return;
  Settling = true;
  for (bool Progress = true; Progress;) {
    Progress = false;
    for (std::unique_ptr<instance_state> &Instance : Instances)
      for (const link_answer &Answer : Instance->Link.takeAnswers()) {
        Progress = true;
        deliver(Answer, Now);
      }
  }
  Settling = false;
}

void group_runtime::deliver(const link_answer &Ended, base::time_point Now) {
  const groups::instance_answer &Answer = Ended.Answer;
  if (Answer.Status)
    Router.observe(Answer.Call.Instance, {*Answer.Status, Answer.AskedAt});
  else if (Answer.Outcome == groups::call_outcome::Failed)
    Router.observeFailure(Answer.Call.Instance);
  // A failed call on an open connection is not a probe; the failover would
  // take it for one that has the same deadline.
  if (Answer.Status || Ended.User == call_user::Failover)
    apply(Failover.handle(Answer, Now), Now);
  apply(Tracker.handle(Answer, Now), Now);
  if (Answer.Status)
    wakeWaiting(Now);
}

void group_runtime::observeStatus(std::size_t Instance,
                                  const groups::status_evidence &Evidence,
                                  base::time_point Now) {
  groups::instance_answer Answer;
  Answer.Call.Instance = Instances[Instance]->Link.options().Instance;
  Answer.Call.Deadline = Evidence.AskedAt + EvidenceLifetime;
  Answer.Outcome = groups::call_outcome::Done;
  Answer.Status = Evidence.Status;
  Answer.AskedAt = Evidence.AskedAt;
  deliver({Answer, call_user::WriteTracker}, Now);
}

void group_runtime::apply(const groups::failover_actions &Actions,
                          base::time_point Now) {
  for (const groups::failover_action &Action : Actions)
    std::visit([&](const auto &Content) { on(Content, Now); }, Action);
}

void group_runtime::apply(const std::vector<groups::write_action> &Actions,
                          base::time_point Now) {
  for (const groups::write_action &Action : Actions) {
    if (const auto *Call = std::get_if<groups::instance_call>(&Action))
      call(*Call, call_user::WriteTracker, Now);
    else
      std::visit([&](const auto &Content) { on(Content, Now); }, Action);
  }
}

void group_runtime::on(const groups::instance_call &Call,
                       base::time_point Now) {
  call(Call, call_user::Failover, Now);
}

void group_runtime::call(const groups::instance_call &Call, call_user User,
                         base::time_point Now) {
  if (std::optional<std::size_t> Index = indexOf(Call.Instance))
    Instances[*Index]->Link.call({Call, User}, Now);
}

void group_runtime::on(const groups::store_call &Call, base::time_point Now) {
  (void)Now;
  Outputs.submitToStore(*this, Call);
}

void group_runtime::on(const groups::promotion_vote &Suspicion,
                       base::time_point Now) {
  (void)Now;
  Outputs.sendSuspicion(Suspicion);
}

void group_runtime::on(const groups::group_view &View, base::time_point Now) {
  base::json Fields = base::json::object();
  Fields["group"] = Options.Group.Id.str();
  Fields["term"] = View.Term;
  Fields["primary"] = View.Primary ? base::json(View.Primary->str()) : nullptr;
  Outputs.log(base::log_level::Info, "primary changed", Fields);
  std::optional<std::size_t> Former = KnownPrimary;
  KnownPrimary = primary();
  updateLeaving(Now);
  if (Former && Former != KnownPrimary)
    moveWritesFrom(*Former, Now);
  if (!KnownPrimary)
    return;
  std::vector<request_task_ptr> Writes;
  for (const auto &[Id, Task] : Waiting)
    if (!Task->isRead())
      Writes.push_back(Task);
  for (const request_task_ptr &Task : Writes) {
    Waiting.erase(Task->Id);
    startWrite(Task, Now);
  }
}

} // namespace radishrelay::daemon
