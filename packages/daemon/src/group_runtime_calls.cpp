#include "radishrelay/daemon/group_runtime.h"

namespace radishrelay::daemon {

namespace {

/// Period in which a status that a request's run returned counts as evidence,
/// from the time at which the run was sent.
constexpr base::duration EvidenceLifetime = std::chrono::milliseconds(200);

} // namespace

void group_runtime::deliverAnswers(base::time_point Now) {
  // Handling an answer may start calls that end at once. The loop of the outer
  // call handles their answers, so that calls do not nest.
  if (IsDelivering)
    return;
  IsDelivering = true;
  for (bool Progress = true; Progress;) {
    Progress = false;
    for (std::unique_ptr<instance_state> &Instance : Instances)
      for (const link_answer &Answer : Instance->Link.takeAnswers()) {
        Progress = true;
        handleAnswer(Answer, Now);
      }
  }
  IsDelivering = false;
}

void group_runtime::handleAnswer(const link_answer &Ended,
                                 base::time_point Now) {
  const groups::instance_answer &Answer = Ended.Answer;
  if (Answer.Status)
    Router.observe(Answer.Call.Instance, {*Answer.Status, Answer.AskedAt});
  else if (Answer.Outcome == groups::call_outcome::Failed)
    Router.observeFailure(Answer.Call.Instance);
  // A failed call of the write tracker is not a probe. Failover would take it
  // for its own probe with the same deadline.
  if (Answer.Status || Ended.Requester == call_requester::Failover)
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
  handleAnswer({Answer, call_requester::WriteTracker}, Now);
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
      call(*Call, call_requester::WriteTracker, Now);
    else
      std::visit([&](const auto &Content) { on(Content, Now); }, Action);
  }
}

void group_runtime::on(const groups::instance_call &Call,
                       base::time_point Now) {
  call(Call, call_requester::Failover, Now);
}

void group_runtime::call(const groups::instance_call &Call,
                         call_requester Requester, base::time_point Now) {
  if (std::optional<std::size_t> Index = indexOf(Call.Instance))
    Instances[*Index]->Link.call({Call, Requester}, Now);
}

void group_runtime::on(const groups::store_call &Call, base::time_point Now) {
  (void)Now;
  Outputs.submitToStore(*this, Call);
}

void group_runtime::on(const groups::promotion_vote &Vote,
                       base::time_point Now) {
  (void)Now;
  Outputs.sendVote(Vote);
}

void group_runtime::on(const groups::group_view &View, base::time_point Now) {
  base::json Fields = base::json::object();
  Fields["group"] = Options.Group.Id.str();
  Fields["term"] = View.Term;
  Fields["primary"] = View.Primary ? base::json(View.Primary->str()) : nullptr;
  Outputs.log(base::log_level::Info, "primary changed", Fields);
  std::optional<std::size_t> FormerPrimary = KnownPrimary;
  KnownPrimary = primary();
  updateLeaving(Now);
  if (FormerPrimary && FormerPrimary != KnownPrimary)
    moveWritesFrom(*FormerPrimary, Now);
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
