#include "radishrelay/groups/promoter.h"

#include <algorithm>

namespace radishrelay::groups {

promoter::promoter(failover_options Options,
                   std::shared_ptr<const acknowledgement_strategy> Strategy,
                   base::random_generator Random)
    : Options(std::move(Options)), Strategy(std::move(Strategy)),
      Random(Random),
      Backoff(this->Options.InitialBackoff, this->Options.MaxBackoff),
      Budget(this->Options.RetryBurst, this->Options.RetryInterval) {}

std::string promoter::ownerName() const {
  return Options.Host.str() + "/" + Options.Incarnation;
}

void promoter::enter(promotion_stage Next, base::time_point Due) {
  Stage = Next;
  DueAt = Due;
  IsCallPending = false;
}

void promoter::finish(base::time_point NextAttempt) {
  enter(promotion_stage::Idle, base::time_point::max());
  NotBefore = NextAttempt;
}

void promoter::backOff(base::time_point Now) {
  finish(Backoff.next(Now, Random));
}

void promoter::start(term_number Suspected, base::time_point Now) {
  // Recording the primary only informs readers of the record; a failover of the
  // recorded term or a later one takes precedence.
  bool IsRecordStale =
      Stage == promotion_stage::Recording && Suspected >= Record.Term;
  if (IsRecordStale)
    finish(NotBefore);
  if (Stage != promotion_stage::Idle || Now < NotBefore)
    return;
  SuspectedTerm = Suspected;
  auto Spread = static_cast<std::uint64_t>(Options.MaxStartDelay.count());
  base::duration Delay(static_cast<std::int64_t>(Random.below(Spread + 1)));
  enter(promotion_stage::Delaying, Now + Delay);
}

void promoter::cancelUnclaimed() {
  if (Stage == promotion_stage::Delaying || Stage == promotion_stage::Reading ||
      Stage == promotion_stage::ReadingBack)
    finish(NotBefore);
}

void promoter::beginAttempt(base::time_point Now, failover_actions &Actions) {
  if (!Budget.tryTake(Now)) {
    DueAt = Budget.availableAt();
    return;
  }
  if (Strategy->allocatesTermInStore()) {
    readRecord(promotion_stage::Reading, Now, Actions);
    return;
  }
  chooseTerm(0);
  beginRaising(Now, Actions);
}

void promoter::chooseTerm(term_number StoredTerm) {
  HighestUsedTerm =
      std::max({StoredTerm, HighestObservedTerm, HighestUsedTerm}) + 1;
  Record = {HighestUsedTerm, ownerName(), std::to_string(Random()), {}};
}

void promoter::handle(const instance_answer &Answer, base::time_point Now,
                      failover_actions &Actions) {
  if (Answer.Status)
    HighestObservedTerm =
        std::max({HighestObservedTerm, Answer.Status->RaisedTerm,
                  Answer.Status->Position.Term});
  if (Stage < promotion_stage::AwaitingLeases)
    return;
  if (Answer.Status && Answer.Status->RaisedTerm > Record.Term) {
    backOff(Now);
    return;
  }
  if (Stage == promotion_stage::Raising)
    onRaised(Answer, Now, Actions);
  else if (Stage == promotion_stage::Promoting)
    onPromoted(Answer, Now, Actions);
}

void promoter::advance(base::time_point Now, failover_actions &Actions) {
  if (Stage == promotion_stage::Idle || Now < DueAt)
    return;
  if (IsCallPending) {
    handleStoreAnswer(
        {}, Now,
        Actions); // no answer before the deadline: outcome unknown
    return;
  }
  if (Stage == promotion_stage::Delaying)
    beginAttempt(Now, Actions);
  else if (Stage == promotion_stage::ReadingBack)
    readRecord(Stage, Now, Actions);
  else if (Stage == promotion_stage::AwaitingLeases)
    beginRaising(Now, Actions);
  else if (Stage == promotion_stage::Recording)
    writeRecord(Stage, Now, Actions);
  else if (Now >= AttemptDeadline)
    backOff(Now);
  else
    callInstances(Now, Actions);
}

void promoter::beginRaising(base::time_point Now, failover_actions &Actions) {
  Raised.clear();
  AttemptDeadline = Now + Options.AttemptTimeout;
  enter(promotion_stage::Raising, Now);
  callInstances(Now, Actions);
}

void promoter::callInstances(base::time_point Now, failover_actions &Actions) {
  base::time_point Deadline = Now + Options.CallTimeout;
  DueAt = std::min(Deadline, AttemptDeadline);
  if (Stage == promotion_stage::Promoting) {
    Actions.push_back(instance_call{*Record.Primary, call_kind::Promote,
                                    Record.Term, Deadline});
    return;
  }
  for (const base::instance_id &Instance : Options.Instances)
    if (!Raised.contains(Instance))
      Actions.push_back(
          instance_call{Instance, call_kind::Raise, Record.Term, Deadline});
}

void promoter::requestStatus(const base::instance_id &Instance,
                             base::time_point Now,
                             failover_actions &Actions) const {
  Actions.push_back(
      instance_call{Instance, call_kind::Status, 0, Now + Options.CallTimeout});
}

void promoter::onRaised(const instance_answer &Answer, base::time_point Now,
                        failover_actions &Actions) {
  bool IsOwnCall =
      Answer.Call.Kind == call_kind::Raise && Answer.Call.Term == Record.Term;
  if (IsOwnCall && Answer.Outcome == call_outcome::Refused)
    requestStatus(Answer.Call.Instance, Now, Actions);
  if (!Answer.Status || Answer.Status->RaisedTerm != Record.Term)
    return;
  // A term allocated in the table service has one owner, so every raise to it
  // comes from this promoter. Otherwise, another promoter may raise to the same
  // term, and only raises that succeeded for this promoter count.
  bool IsRaised = Strategy->allocatesTermInStore() ||
                  (IsOwnCall && Answer.Outcome == call_outcome::Done);
  if (!IsRaised)
    return;
  Raised[Answer.Call.Instance] = *Answer.Status;
  if (Raised.size() < Options.Instances.size() / 2 + 1)
    return;
  Record.Primary = mostAdvanced();
  enter(promotion_stage::Promoting, Now);
  callInstances(Now, Actions);
}

base::instance_id promoter::mostAdvanced() const {
  auto IsBehind = [](const auto &Left, const auto &Right) {
    return lastEntry(Left.second) < lastEntry(Right.second);
  };
  return std::ranges::max_element(Raised, IsBehind)->first;
}

void promoter::onPromoted(const instance_answer &Answer, base::time_point Now,
                          failover_actions &Actions) {
  if (Answer.Call.Instance != *Record.Primary)
    return;
  bool IsOwnCall =
      Answer.Call.Kind == call_kind::Promote && Answer.Call.Term == Record.Term;
  bool IsPrimary = Answer.Status &&
                   Answer.Status->Role == instance_role::Primary &&
                   Answer.Status->Position.Term == Record.Term;
  if (IsPrimary || (IsOwnCall && Answer.Outcome == call_outcome::Done))
    beginRecording(Now, Actions);
  else if (IsOwnCall && Answer.Outcome == call_outcome::Refused)
    requestStatus(Answer.Call.Instance, Now, Actions);
}

void promoter::beginRecording(base::time_point Now, failover_actions &Actions) {
  Backoff.reset();
  finish(Now + Options.TakeoverDelay);
  if (Strategy->allocatesTermInStore())
    writeRecord(promotion_stage::Recording, Now, Actions);
}

base::time_point promoter::nextWake() const {
  return Stage == promotion_stage::Idle ? NotBefore : DueAt;
}

base::json promoter::dump() const {
  static constexpr const char *Names[] = {
      "idle",     "delaying",     "reading",
      "claiming", "reading_back", "awaiting_leases",
      "raising",  "promoting",    "recording"};
  return {{"stage", Names[static_cast<std::size_t>(Stage)]},
          {"due_at_us", base::toMicroseconds(nextWake())},
          {"record", toJson(Record)},
          {"record_version", Version},
          {"raised", Raised.size()},
          {"backoff", Backoff.dump()},
          {"retry_budget", Budget.dump()}};
}

} // namespace radishrelay::groups
