#include "radishrelay/groups/group_failover.h"

#include <algorithm>

namespace radishrelay::groups {

group_failover::group_failover(
    const failover_options &Options,
    std::shared_ptr<const acknowledgement_strategy> Strategy,
    base::random_generator Random)
    : Options(Options), Evidence(Options.Instances), Probes(Options),
      Suspicion(Options), Promoter(Options, std::move(Strategy), Random) {}

failover_actions group_failover::handle(const failover_event &Event,
                                        base::time_point Time) {
  Now = Time;
  Actions.clear();
  std::visit([this](const auto &Content) { on(Content); }, Event);
  for (const base::instance_id &Instance : Probes.expire(Now))
    noteProbe(Instance, false);
  updateView();
  updatePromoter();
  startProbes();
  return std::move(Actions);
}

void group_failover::on(const instance_answer &Answer) {
  if (Evidence.record(Answer))
    updateTerm();
  if (Probes.finish(Answer, Now))
    noteProbe(Answer.Call.Instance, Answer.Outcome == call_outcome::Done);
  Promoter.handle(Answer, Now, Actions);
}

void group_failover::on(const store_call_answer &Answer) {
  Promoter.handle(Answer, Now, Actions);
}

void group_failover::on(const suspicion &Message) {
  Suspicion.receive(Message, Now);
}

void group_failover::on(const reachable_domains &Reachable) {
  Suspicion.setReachable(Reachable);
}

void group_failover::updateTerm() {
  Primary.reset();
  for (const base::instance_id &Instance : Evidence.instances()) {
    const dated_status *Dated = Evidence.find(Instance);
    if (Dated != nullptr)
      Term = std::max(Term, Dated->Status.Position.Term);
  }
  for (const base::instance_id &Instance : Evidence.instances()) {
    const dated_status *Dated = Evidence.find(Instance);
    if (Dated != nullptr && Dated->Status.Role == instance_role::Primary &&
        Dated->Status.Position.Term == Term)
      Primary = Instance;
  }
  Suspicion.setTerm(Term);
}

bool group_failover::canCommit() const {
  if (!Primary || Evidence.isSuperseded(Term))
    return false;
  return Evidence.find(*Primary)->Status.RaisedTerm <= Term;
}

void group_failover::noteProbe(const base::instance_id &Instance,
                               bool IsAnswered) {
  // Without a primary, each end of a probe of the first instance is a round.
  const base::instance_id &Watched =
      Primary ? *Primary : Evidence.instances().front();
  if (Instance != Watched)
    return;
  if (IsAnswered && canCommit()) {
    Suspicion.noteSuccess();
    return;
  }
  Suspicion.noteFailure();
  if (Suspicion.isSuspected())
    Actions.push_back(Suspicion.message());
}

bool group_failover::majorityResponds() const {
  auto Responds = [this](const base::instance_id &Instance) {
    const dated_status *Dated = Evidence.find(Instance);
    return Dated != nullptr && Now < Dated->Deadline;
  };
  auto Count = std::ranges::count_if(Evidence.instances(), Responds);
  return static_cast<std::size_t>(Count) >= Evidence.majority();
}

void group_failover::updateView() {
  group_view Next = {Term, {}, Now};
  if (canCommit() && !Suspicion.isSuspected())
    Next.Primary = Primary;
  if (Next.Term == View.Term && Next.Primary == View.Primary)
    return;
  View = Next;
  Actions.push_back(View);
}

void group_failover::updatePromoter() {
  bool Responds = majorityResponds();
  if (!Suspicion.isSuspected())
    Promoter.cancelUnclaimed();
  else if (Responds && Suspicion.isConfirmed(Responds, Now))
    Promoter.start(Term, Now);
  Promoter.advance(Now, Actions);
}

bool group_failover::isUrgent() const {
  return !View.Primary || Suspicion.isReported(Now);
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
  Object["evidence"] = Evidence.dump();
  Object["probes"] = Probes.dump();
  Object["suspicion"] = Suspicion.dump();
  Object["promoter"] = Promoter.dump();
  return Object;
}

} // namespace radishrelay::groups
