#include "radishrelay/groups/group_failover.h"

#include <algorithm>

namespace radishrelay::groups {

group_failover::group_failover(
    const failover_options &Options,
    std::shared_ptr<const acknowledgement_strategy> Strategy,
    base::random_generator Random)
    : Options(Options), Statuses(Options.Instances), Probes(Options),
      FailureDetector(Options), Promoter(Options, std::move(Strategy), Random) {
}

failover_actions group_failover::handle(const failover_event &Event,
                                        base::time_point Time) {
  Now = Time;
  Actions.clear();
  std::visit([this](const auto &Content) { on(Content); }, Event);
  for (const base::instance_id &Instance : Probes.expire(Now))
    recordProbe(Instance, false);
  updateView();
  updatePromoter();
  startProbes();
  return std::move(Actions);
}

void group_failover::on(const instance_answer &Answer) {
  if (Statuses.record(Answer))
    updateTerm();
  if (Probes.finish(Answer, Now))
    recordProbe(Answer.Call.Instance, Answer.Outcome == call_outcome::Done);
  Promoter.handle(Answer, Now, Actions);
}

void group_failover::on(const store_call_answer &Answer) {
  Promoter.handle(Answer, Now, Actions);
}

void group_failover::on(const promotion_vote &Message) {
  FailureDetector.receive(Message, Now);
}

void group_failover::on(const reachable_domains &Reachable) {
  FailureDetector.setReachableDomains(Reachable);
}

void group_failover::updateTerm() {
  Primary.reset();
  for (const base::instance_id &Instance : Statuses.instances()) {
    const dated_status *Dated = Statuses.find(Instance);
    if (Dated != nullptr)
      Term = std::max(Term, Dated->Status.Position.Term);
  }
  for (const base::instance_id &Instance : Statuses.instances()) {
    const dated_status *Dated = Statuses.find(Instance);
    if (Dated != nullptr && Dated->Status.Role == instance_role::Primary &&
        Dated->Status.Position.Term == Term)
      Primary = Instance;
  }
  FailureDetector.setTerm(Term);
}

bool group_failover::canCommit() const {
  if (!Primary || Statuses.isSuperseded(Term))
    return false;
  return Statuses.find(*Primary)->Status.RaisedTerm <= Term;
}

void group_failover::recordProbe(const base::instance_id &Instance,
                                 bool IsAnswered) {
  // Without a known primary, each finished probe of the first instance counts
  // as one failure, so that the count grows once per round of probes.
  const base::instance_id &Watched =
      Primary ? *Primary : Statuses.instances().front();
  if (Instance != Watched)
    return;
  if (IsAnswered && canCommit()) {
    FailureDetector.recordSuccess();
    return;
  }
  FailureDetector.recordFailure();
  if (FailureDetector.isSuspected())
    Actions.push_back(FailureDetector.message());
}

bool group_failover::majorityResponds() const {
  auto Responds = [this](const base::instance_id &Instance) {
    const dated_status *Dated = Statuses.find(Instance);
    return Dated != nullptr && Now < Dated->Deadline;
  };
  auto Count = std::ranges::count_if(Statuses.instances(), Responds);
  return static_cast<std::size_t>(Count) >= Statuses.majority();
}

void group_failover::updateView() {
  group_view Next = {Term, {}, Now};
  if (canCommit() && !FailureDetector.isSuspected())
    Next.Primary = Primary;
  if (Next.Term == View.Term && Next.Primary == View.Primary)
    return;
  View = Next;
  Actions.push_back(View);
}

void group_failover::updatePromoter() {
  bool Responds = majorityResponds();
  if (!FailureDetector.isSuspected())
    Promoter.cancelUnclaimed();
  else if (Responds && FailureDetector.isConfirmed(Responds, Now))
    Promoter.start(Term, Now);
  Promoter.advance(Now, Actions);
}

bool group_failover::isUrgent() const {
  return !View.Primary || FailureDetector.hasVote(Now);
}

void group_failover::startProbes() {
  for (instance_call &Call : Probes.start(isUrgent(), Now))
    Actions.push_back(std::move(Call));
}

base::time_point group_failover::nextWake() const {
  base::time_point Wake = Probes.nextWake(isUrgent());
  if (Promoter.stage() != promotion_stage::Idle)
    Wake = std::min(Wake, Promoter.nextWake());
  return Wake;
}

base::json group_failover::dump() const {
  base::json Object = {{"group", Options.Group.str()},
                       {"term", View.Term},
                       {"primary", nullptr},
                       {"since_us", base::toMicroseconds(View.Since)}};
  if (View.Primary)
    Object["primary"] = View.Primary->str();
  Object["evidence"] = Statuses.dump();
  Object["probes"] = Probes.dump();
  Object["suspicion"] = FailureDetector.dump();
  Object["promoter"] = Promoter.dump();
  return Object;
}

} // namespace radishrelay::groups
