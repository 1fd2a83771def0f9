#include "radishrelay/groups/read_router.h"

#include "radishrelay/groups/read_error.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace radishrelay::groups {

namespace {

position_relation relationOf(const instance_status &Status,
                             const read_request &Request) {
  return term_history(Status).relate(Request.Required.Position);
}

bool isPrimary(const instance_status &Status) {
  return Status.Role == instance_role::Primary;
}

} // namespace

read_router::read_router(read_router_options Options) : Options(Options) {}

void read_router::setInstance(const base::instance_id &Instance,
                              base::duration RoundTripTime) {
  Instances[Instance].RoundTripTime = RoundTripTime;
}

void read_router::removeInstance(const base::instance_id &Instance) {
  Instances.erase(Instance);
  Progress.forget(Instance);
}

void read_router::setLeaving(const base::instance_id &Instance,
                             bool IsLeaving) {
  if (auto Entry = Instances.find(Instance); Entry != Instances.end())
    Entry->second.IsLeaving = IsLeaving;
}

void read_router::setLoad(const base::instance_id &Instance, std::size_t Queue,
                          base::duration MeanService) {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return;
  Entry->second.Queue = Queue;
  Entry->second.MeanService = MeanService;
}

void read_router::observe(const base::instance_id &Instance,
                          const status_evidence &Evidence) {
  auto Entry = Instances.find(Instance);
  if (Entry == Instances.end())
    return;
  std::optional<status_evidence> &Known = Entry->second.Evidence;
  if (Known && Known->AskedAt >= Evidence.AskedAt)
    return;
  Known = Evidence;
  const log_position &Position = Evidence.Status.Position;
  if (!isPrimary(Evidence.Status))
    Progress.observeReplica(Instance, Position, Evidence.AskedAt);
  else if (Position.Term == highestTerm())
    Progress.observePrimary(Position, Evidence.AskedAt);
}

void read_router::observeWrite(const log_position &Position,
                               base::time_point At) {
  Progress.observePrimary(Position, At);
}

void read_router::observeFailure(const base::instance_id &Instance) {
  if (auto Entry = Instances.find(Instance); Entry != Instances.end())
    Entry->second.Evidence.reset();
}

read_decision read_router::choose(const read_request &Request,
                                  base::time_point Now) const {
  if (Now >= Request.Deadline)
    return refuse_read{read_error::NoFreshReplica};
  std::optional<candidate> Best;
  for (const auto &[Instance, State] : Instances) {
    std::optional<candidate> Next = assess(Instance, State, Request, Now);
    if (Next && (!Best || Next->Cost < Best->Cost))
      Best = std::move(Next);
  }
  if (!Best)
    return chooseFallback(Request, Now);
  if (Best->Wait > base::duration::zero())
    return wait_for_position{Best->Instance, Now + Best->Wait};
  return run_read{Best->Instance, Best->Role, false, Best->Cost};
}

read_verdict read_router::check(const read_request &Request,
                                const base::instance_id &Instance,
                                const status_evidence &Evidence,
                                bool IsConfirmed, base::time_point Now) const {
  const instance_status &Status = Evidence.Status;
  if (Request.Required.NeedsConfirmedPrimary && !IsConfirmed)
    return retry_routing{};
  position_relation Relation = relationOf(Status, Request);
  if (Relation == position_relation::Lost) {
    if (Status.Position.Term >= highestTerm())
      return refuse_result{read_error::HistoryLost};
    return retry_routing{};
  }
  if (Relation == position_relation::Behind)
    return retry_routing{};
  bool IsKnown = Instances.contains(Instance);
  // A confirmed read saw every write that was acknowledged before it was sent.
  bool MeetsMaxAge =
      IsConfirmed ? !Request.MaxAge || Now - Evidence.AskedAt <= *Request.MaxAge
                  : meetsMaxAge(Evidence, Request, Now);
  if (!IsKnown || !MeetsMaxAge)
    return retry_routing{};
  return accept_result{term_history(Status).lastEntry()};
}

bool read_router::isUsable(const base::instance_id &Instance,
                           const instance_state &State,
                           const read_request &Request,
                           base::time_point Now) const {
  if (State.IsLeaving || !State.Evidence || Request.Excluded == Instance)
    return false;
  return Now - State.Evidence->AskedAt <= Options.EvidenceLifetime;
}

std::optional<read_router::candidate>
read_router::assess(const base::instance_id &Instance,
                    const instance_state &State, const read_request &Request,
                    base::time_point Now) const {
  // Only chooseFallback() selects a primary whose term is not confirmed yet.
  if (Request.Required.NeedsConfirmedPrimary)
    return std::nullopt;
  if (!isUsable(Instance, State, Request, Now) ||
      !meetsMaxAge(*State.Evidence, Request, Now))
    return std::nullopt;
  std::optional<base::duration> Wait =
      expectedWait(Instance, State, Request, Now);
  if (!Wait)
    return std::nullopt;
  base::duration Time =
      *Wait + State.RoundTripTime +
      State.MeanService * static_cast<std::int64_t>(State.Queue + 1);
  if (Now + Time > Request.Deadline)
    return std::nullopt;
  instance_role Role = State.Evidence->Status.Role;
  if (Role == instance_role::Primary)
    Time += Options.PrimarySurcharge;
  return candidate{Instance, Role, *Wait, Time};
}

std::optional<base::duration> read_router::expectedWait(
    const base::instance_id &Instance, const instance_state &State,
    const read_request &Request, base::time_point Now) const {
  const instance_status &Status = State.Evidence->Status;
  const log_position &Position = Request.Required.Position;
  position_relation Relation = relationOf(Status, Request);
  if (Relation == position_relation::Contained)
    return base::duration::zero();
  if (Relation == position_relation::Lost)
    return std::nullopt;
  // A primary holds all entries of its term, also those written after its
  // status was reported.
  if (isPrimary(Status) && Status.Position.Term == Position.Term)
    return base::duration::zero();
  if (Request.FailedChecks >= Options.MaxFailedChecks)
    return std::nullopt;
  std::optional<base::time_point> Expected =
      Progress.expectedAt(Instance, Position, Now);
  if (!Expected)
    return std::nullopt;
  // The read arrives half a round trip after it is sent.
  return std::max(base::duration::zero(),
                  *Expected - Now - State.RoundTripTime / 2);
}

bool read_router::meetsMaxAge(const status_evidence &Evidence,
                              const read_request &Request,
                              base::time_point Now) const {
  if (!Request.MaxAge)
    return true;
  if (isPrimary(Evidence.Status)) {
    std::optional<base::time_point> At =
        termConfirmedAt(Evidence.Status.Position.Term);
    return At && Now - std::min(*At, Evidence.AskedAt) <= *Request.MaxAge;
  }
  const std::optional<base::duration> &Age = Evidence.Status.AppliedAge;
  return Age && Now - Evidence.AskedAt + *Age <= *Request.MaxAge;
}

/// Returns the time up to which no primary of a newer term can have committed;
/// empty while no majority has confirmed \p Term.
///
/// A newer term is first raised on a majority of the instances. Any majority
/// that reported no higher term shares an instance with that majority, so the
/// newer term was raised only after that instance was asked.
std::optional<base::time_point>
read_router::termConfirmedAt(term_number Term) const {
  std::vector<base::time_point> AskedAt;
  for (const auto &[Instance, State] : Instances)
    if (State.Evidence && State.Evidence->Status.RaisedTerm <= Term &&
        State.Evidence->Status.Position.Term <= Term)
      AskedAt.push_back(State.Evidence->AskedAt);
  std::size_t Majority = Instances.size() / 2 + 1;
  if (AskedAt.size() < Majority)
    return std::nullopt;
  std::sort(AskedAt.begin(), AskedAt.end(), std::greater<>());
  return AskedAt[Majority - 1];
}

term_number read_router::highestTerm() const {
  term_number Highest = 0;
  for (const auto &[Instance, State] : Instances)
    if (State.Evidence)
      Highest = std::max(Highest, State.Evidence->Status.Position.Term);
  return Highest;
}

read_decision read_router::chooseFallback(const read_request &Request,
                                          base::time_point Now) const {
  if (isHistoryLost(Request))
    return refuse_read{read_error::HistoryLost};
  for (const auto &[Instance, State] : Instances) {
    if (!isUsable(Instance, State, Request, Now))
      continue;
    const instance_status &Status = State.Evidence->Status;
    bool IsCurrent = isPrimary(Status) &&
                     Status.Position.Term == highestTerm() &&
                     Status.Position.Term >= Request.Required.Position.Term;
    base::duration Time = State.RoundTripTime + State.MeanService;
    if (IsCurrent && Now + Time <= Request.Deadline)
      return run_read{Instance, instance_role::Primary, true, Time};
  }
  base::time_point Until = Now + Options.ReevaluationDelay;
  if (Until >= Request.Deadline)
    return refuse_read{read_error::NoFreshReplica};
  return wait_for_position{{}, Until};
}

bool read_router::isHistoryLost(const read_request &Request) const {
  for (const auto &[Instance, State] : Instances) {
    if (!State.Evidence ||
        State.Evidence->Status.Position.Term != highestTerm())
      continue;
    if (relationOf(State.Evidence->Status, Request) == position_relation::Lost)
      return true;
  }
  return false;
}

base::json read_router::dump() const {
  base::json Dump = base::json::object();
  Dump["instances"] = base::json::object();
  for (const auto &[Instance, State] : Instances) {
    base::json Item = base::json::object();
    Item["distance_us"] = State.RoundTripTime.count();
    Item["leaving"] = State.IsLeaving;
    Item["queue"] = State.Queue;
    Item["mean_service_us"] = State.MeanService.count();
    Item["status"] = nullptr;
    if (State.Evidence) {
      Item["status"] =
          base::json::parse(formatInstanceStatus(State.Evidence->Status));
      Item["asked_at_us"] = base::toMicroseconds(State.Evidence->AskedAt);
    }
    Dump["instances"][Instance.str()] = Item;
  }
  Dump["progress"] = Progress.dump();
  return Dump;
}

} // namespace radishrelay::groups
