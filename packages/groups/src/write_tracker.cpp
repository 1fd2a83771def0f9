#include "radishrelay/groups/write_tracker.h"

#include "radishrelay/groups/majority_strategy.h"

#include <algorithm>

namespace radishrelay::groups {

write_tracker::write_tracker(
    write_tracker_options Options,
    std::shared_ptr<const acknowledgement_strategy> Strategy,
    const std::vector<base::instance_id> &Instances)
    : Options(Options), Strategy(std::move(Strategy)), Statuses(Instances) {
  for (const base::instance_id &Instance : Instances)
    Calls[Instance].LastCallAt = base::time_point::min();
}

std::vector<write_action> write_tracker::handle(const write_event &Event,
                                                base::time_point Now) {
  std::vector<write_action> Actions;
  std::visit([this](const auto &Content) { on(Content); }, Event);
  decideWrites(Now, Actions);
  callInstances(Now, Actions);
  return Actions;
}

void write_tracker::on(const committed_write &Write) {
  Writes.push_back(Write);
}

void write_tracker::on(const instance_answer &Answer) {
  Statuses.record(Answer);
  auto State = Calls.find(Answer.Call.Instance);
  if (State == Calls.end())
    return;
  std::erase(State->second.Unanswered, Answer.Call.Deadline);
}

void write_tracker::on(const term_lease &NewLease) {
  bool IsNewer =
      NewLease.Term > Lease.Term ||
      (NewLease.Term == Lease.Term && NewLease.Deadline > Lease.Deadline);
  if (IsNewer)
    Lease = NewLease;
}

void write_tracker::decideWrites(base::time_point Now,
                                 std::vector<write_action> &Actions) {
  auto Decide = [&](const committed_write &Write) {
    if (Now >= Write.Deadline) {
      Actions.push_back(
          report_unknown{Write.Write, unknown_reason::DeadlinePassed});
      return true;
    }
    write_verdict Verdict = Strategy->evaluate(Write, Statuses, Lease, Now);
    if (Verdict.State == write_state::Acknowledged)
      Actions.push_back(acknowledge_write{Write.Write, Verdict.ValidUntil});
    if (Verdict.State == write_state::Superseded)
      Actions.push_back(
          report_unknown{Write.Write, unknown_reason::TermSuperseded});
    return Verdict.State != write_state::Pending;
  };
  std::erase_if(Writes, Decide);
}

bool write_tracker::isStatusNeeded(const base::instance_id &Instance,
                                   base::time_point Now) const {
  const dated_status *Dated = Statuses.find(Instance);
  if (Dated == nullptr)
    return !Writes.empty();
  return std::ranges::any_of(Writes, [&](const committed_write &Write) {
    return !confirmsWrite(*Dated, Write, Now);
  });
}

base::time_point write_tracker::nextCallAt(const call_state &State) const {
  if (State.LastCallAt == base::time_point::min())
    return State.LastCallAt;
  base::time_point Spaced = State.LastCallAt + Options.MinCallInterval;
  if (State.Unanswered.size() < Options.MaxUnansweredCalls)
    return Spaced;
  return std::max(Spaced, State.Unanswered.front());
}

void write_tracker::callInstances(base::time_point Now,
                                  std::vector<write_action> &Actions) {
  if (Writes.empty() || !Strategy->needsStatuses())
    return;
  for (auto &[Instance, State] : Calls) {
    std::erase_if(State.Unanswered,
                  [&](base::time_point D) { return D <= Now; });
    if (!isStatusNeeded(Instance, Now) || Now < nextCallAt(State))
      continue;
    base::time_point Deadline = Now + Options.CallTimeout;
    State.LastCallAt = Now;
    State.Unanswered.push_back(Deadline);
    Actions.push_back(instance_call{Instance, call_kind::Status, 0, Deadline});
  }
}

std::optional<base::time_point> write_tracker::nextWake() const {
  if (Writes.empty())
    return {};
  base::time_point Wake = base::time_point::max();
  for (const committed_write &Write : Writes)
    Wake = std::min(Wake, Write.Deadline);
  if (!Strategy->needsStatuses())
    return Wake;
  for (const auto &[Instance, State] : Calls) {
    base::time_point CallAt = nextCallAt(State);
    // A status that confirms all waiting writes is renewed after its deadline.
    if (!isStatusNeeded(Instance, base::time_point::min()))
      CallAt = std::max(CallAt, Statuses.find(Instance)->Deadline);
    Wake = std::min(Wake, CallAt);
  }
  return Wake;
}

base::json write_tracker::dump() const {
  base::json Waiting = base::json::array();
  for (const committed_write &Write : Writes)
    Waiting.push_back(
        {{"write", Write.Write},
         {"term", Write.Position.Term},
         {"position", Write.Position.Offset},
         {"committed_at_us", base::toMicroseconds(Write.CommittedAt)},
         {"deadline_us", base::toMicroseconds(Write.Deadline)}});
  return {{"strategy", Strategy->name()},
          {"waiting", Waiting},
          {"evidence", Statuses.dump()},
          {"lease",
           {{"term", Lease.Term},
            {"deadline_us", base::toMicroseconds(Lease.Deadline)}}}};
}

} // namespace radishrelay::groups
