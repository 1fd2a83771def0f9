#include "radishrelay/sessions/detail/group_supervisor.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// After a session's last need of a proof, probes go on for so long, so that a
/// lost primary is replaced before the next session comes.
constexpr base::duration DemandLifetime = std::chrono::seconds(3);
/// A proof is renewed this long before it runs out.
constexpr base::duration RenewalTime = std::chrono::milliseconds(350);
/// Other hosts of the failure domain answer within one round trip, below 1 ms.
constexpr base::duration NeighbourPatience = std::chrono::milliseconds(8);
constexpr base::duration AskInterval = std::chrono::milliseconds(100);
constexpr std::size_t AskedNeighbours = 2;

} // namespace

group_supervisor::group_supervisor(base::group_id Group,
                                   const engine_options &Options,
                                   backend_pool &Pool, store_calls &Store,
                                   fleet_members &Fleet, event_log &Log)
    : Group(std::move(Group)), Options(Options), Pool(Pool), Store(Store),
      Fleet(Fleet), Log(Log), Leadership(Options.LeaseDuration),
      Promotion(this->Group, Options), Votes(Options.VoteLifetime) {}

void group_supervisor::setListings(
    const std::map<base::instance_id, instance_listing> &List,
    base::time_point Now) {
  for (auto &[Instance, Member] : Members) {
    bool IsListed = List.contains(Instance);
    if (Member.IsListed && !IsListed)
      Member.UnlistedAt = Now;
    Member.IsListed = IsListed;
  }
  for (const auto &[Instance, Listing] : List)
    if (Listing.Group == Group) {
      member_state &Member = Members[Instance];
      Member.Listing = Listing;
      Member.IsListed = true;
    }
  updateMembers();
}

void group_supervisor::updateMembers() {
  std::set<base::instance_id> Names;
  for (const auto &[Instance, Member] : Members)
    Names.insert(Instance);
  Leadership.setMembers(std::move(Names));
}

void group_supervisor::setSettings(const group_settings &NewSettings) {
  Settings = NewSettings;
  Leadership.setCommitsReplicated(Settings.SyncReplicas > 0);
}

std::optional<base::instance_id>
group_supervisor::usablePrimary(base::time_point Now) const {
  if (isPrimarySilent() || !Leadership.isProved(Now))
    return std::nullopt;
  return Leadership.primary();
}

std::optional<base::instance_id> group_supervisor::primaryForWrites() const {
  if (isPrimarySilent() || Settings.SyncReplicas == 0 || !Promotion.isIdle())
    return std::nullopt;
  return Leadership.primary();
}

bool group_supervisor::isPromotionOrdered() const {
  return Promotion.isOrdered();
}

void group_supervisor::wantProof(base::time_point Now) {
  WantedAt = Now;
  seekProof(Now);
}

void group_supervisor::seekProof(base::time_point Now) {
  if (IsProbing || Now >= WantedAt + DemandLifetime)
    return;
  bool IsProvedLonger = Leadership.isProved(Now + RenewalTime);
  if (!isPrimaryDoubted() && !IsProvedLonger && Now >= NextAskAt)
    askNeighbours(Now);
  bool AreNeighboursAwaited = NeighboursUntil && Now < *NeighboursUntil;
  if (!AreNeighboursAwaited && Now >= NextProbeAt && isProbeNeeded(Now))
    startProbe(Now);
}

void group_supervisor::askNeighbours(base::time_point Now) {
  NextAskAt = Now + AskInterval;
  std::vector<std::string> Neighbours = Fleet.neighbours();
  std::size_t Count = std::min(AskedNeighbours, Neighbours.size());
  if (Count == 0)
    return;
  NeighboursUntil = Now + NeighbourPatience;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.send(proof_wish{Group, Now},
               Neighbours.at(++NeighbourIndex % Neighbours.size()));
}

std::optional<proof_offer> group_supervisor::offer(const proof_wish &Wish,
                                                   base::time_point Now) const {
  bool IsOfUse = !isPrimaryDoubted() && Leadership.isProved(Now + RenewalTime);
  if (!IsOfUse)
    return std::nullopt;
  proof_offer Offer;
  Offer.Group = Group;
  Offer.AskedAt = Wish.SentAt;
  Offer.Primary = *Leadership.primary();
  Offer.Term = Leadership.term();
  Offer.Age = Now - Leadership.provedAt();
  if (auto Newest = Leadership.newestEvidence()) {
    Offer.Position = Newest->Position;
    Offer.PositionAge = Now - Newest->SentAt;
  }
  return Offer;
}

bool group_supervisor::receive(const proof_offer &Offer, base::time_point Now) {
  base::time_point ProvedAt = Offer.AskedAt - Offer.Age;
  bool IsNewer = ProvedAt > Leadership.provedAt();
  // Doubts of this host go before what another believes.
  if (isPrimaryDoubted() || Offer.Age < base::duration::zero() ||
      Offer.AskedAt > Now)
    return false;
  Leadership.noteProof(Offer.Primary, Offer.Term, ProvedAt);
  if (Offer.Position)
    Leadership.notePosition(Offer.Primary, *Offer.Position,
                            Offer.AskedAt - Offer.PositionAge);
  if (!Leadership.isProved(Now))
    return false;
  if (IsNewer)
    noteProved(Now);
  NeighboursUntil.reset();
  return true;
}

bool group_supervisor::isProbeNeeded(base::time_point Now) const {
  bool IsWanted = Now < WantedAt + DemandLifetime;
  return IsWanted && (isPrimaryDoubted() || !Leadership.isProved(Now));
}

void group_supervisor::startProbe(base::time_point Now) {
  IsProbing = true;
  ProbeStartedAt = Now;
  NextProbeAt = Now + Options.ProbeInterval;
  backend_request Status;
  Status.Verb = backend_verb::Status;
  for (const auto &[Instance, Member] : Members)
    Pool.call(Instance, CallAccount, Status, Now);
}

void group_supervisor::endProbe(base::time_point Now) {
  IsProbing = false;
  if (FailedProbes++ == 0) {
    FirstFailureAt = ProbeStartedAt;
    base::json Fields = Leadership.dump();
    Fields["group"] = Group.str();
    Log.belief("primary not proved by a probe", Fields);
  }
  NextProbeAt = std::max(NextProbeAt, Now);
}

void group_supervisor::noteProved(base::time_point) {
  IsProbing = false;
  FailedProbes = 0;
  FirstFailureAt = {};
  if (LoggedPrimary == Leadership.primary() && LoggedTerm == Leadership.term())
    return;
  LoggedPrimary = Leadership.primary();
  LoggedTerm = Leadership.term();
  WriteTimeouts = 0;
  ReplaceSince.reset();
  base::json Fields = Leadership.dump();
  Fields["group"] = Group.str();
  Log.belief("primary proved", Fields);
}

void group_supervisor::noteFailure(const base::instance_id &Instance,
                                   base::time_point Now) {
  if (Leadership.primary() != Instance)
    return;
  if (FirstFailureAt <= Leadership.provedAt())
    FirstFailureAt = Now;
  wantProof(Now);
}

void group_supervisor::noteWriteTimeout(const base::instance_id &Instance,
                                        base::time_point Now) {
  if (Leadership.primary() != Instance)
    return;
  if (WriteTimeouts++ == 0)
    FirstWriteTimeoutAt = Now;
}

void group_supervisor::noteCommit(const base::instance_id &Instance,
                                  groups::log_position Position,
                                  base::time_point SentAt) {
  Leadership.noteCommit(Instance, Position, SentAt);
  if (Leadership.primary() == Instance) {
    WriteTimeouts = 0;
    bool IsProvedSinceFailure = SentAt > FirstFailureAt;
    if (IsProvedSinceFailure && Settings.SyncReplicas > 0)
      noteProved(SentAt);
  }
}

bool group_supervisor::callAnswered(const base::instance_id &Instance,
                                    const instance_condition &Condition,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  Leadership.noteCondition(Instance, Condition, SentAt);
  promotion_actions Actions;
  Promotion.instanceAnswered(Instance, Condition, Now, Actions);
  perform(Actions, Now);
  bool IsProved = Leadership.isProved(Now) &&
                  Leadership.provedAt() >= ProbeStartedAt &&
                  Leadership.provedAt() >= FirstFailureAt;
  if (IsProved &&
      (IsProbing || FailedProbes > 0 || LoggedTerm != Leadership.term()))
    noteProved(Now);
  return IsProved;
}

void group_supervisor::advance(base::time_point Now) {
  bool IsForgotten = false;
  std::erase_if(Members, [&](const auto &Entry) {
    const member_state &Member = Entry.second;
    bool IsOld =
        !Member.IsListed && Now >= Member.UnlistedAt + Options.UnlistedLifetime;
    IsForgotten = IsForgotten || IsOld;
    return IsOld;
  });
  if (IsForgotten)
    updateMembers();
  if (IsProbing && Now >= ProbeStartedAt + Options.StatusTimeout)
    endProbe(Now);
  seekProof(Now);
  considerPromotion(Now);
  promotion_actions Actions;
  Promotion.advance(Now, Actions);
  perform(Actions, Now);
}

base::time_point group_supervisor::nextWake(base::time_point Now) const {
  base::time_point Wake = Promotion.nextWake();
  if (IsProbing)
    Wake = std::min(Wake, ProbeStartedAt + Options.StatusTimeout);
  else if (isProbeNeeded(Now))
    Wake = std::min(Wake, std::max(NextProbeAt, NeighboursUntil.value_or(Now)));
  else if (Now < WantedAt + DemandLifetime)
    Wake = std::min(Wake, Leadership.provedAt() + Options.LeaseDuration -
                              RenewalTime);
  if (ReplaceSince)
    Wake = std::min(Wake, *ReplaceSince + Size.PromotionDelay);
  if (isSuspected(Now))
    Wake = std::min(Wake, NextVoteAt);
  return Wake;
}

base::json group_supervisor::dump() const {
  base::json Result = Leadership.dump();
  Result["failed_probes"] = FailedProbes;
  Result["write_timeouts"] = WriteTimeouts;
  Result["promotion"] = Promotion.dump();
  return Result;
}

} // namespace radishrelay::sessions::detail
