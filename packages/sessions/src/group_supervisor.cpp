#include "radishrelay/sessions/detail/group_supervisor.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// After a session's last need of a proof, probes go on for so long, so that a
/// lost primary is replaced before the next session comes.
constexpr base::duration DemandLifetime = std::chrono::seconds(3);
/// An instance that answered a status call so recently can be fenced.
constexpr base::duration ReachedLifetime = std::chrono::milliseconds(1000);
/// A proof is renewed this long before it runs out.
constexpr base::duration RenewalTime = std::chrono::milliseconds(350);
/// Other hosts of the failure domain answer within one round trip, below 1 ms.
constexpr base::duration NeighbourPatience = std::chrono::milliseconds(8);
constexpr base::duration AskInterval = std::chrono::milliseconds(100);
constexpr std::size_t AskedNeighbours = 2;
/// A failed write may be a lost answer; two without a success between are not.
constexpr std::uint32_t WriteTimeoutsToSuspect = 2;

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
  bool IsSilent = FailedProbes > 0 && PrimaryAnsweredAt < FirstFailureAt;
  if (IsSilent || !Leadership.isProved(Now))
    return std::nullopt;
  return Leadership.primary();
}

std::optional<base::instance_id> group_supervisor::primaryForWrites() const {
  bool IsSilent = FailedProbes > 0 && PrimaryAnsweredAt < FirstFailureAt;
  if (IsSilent || Settings.SyncReplicas == 0 || !Promotion.isIdle())
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
  bool IsDoubted = FailedProbes > 0 || FirstFailureAt > Leadership.provedAt();
  bool IsProvedLonger = Leadership.isProved(Now + RenewalTime);
  if (!IsDoubted && !IsProvedLonger && Now >= NextAskAt)
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
  bool IsOfUse = FailedProbes == 0 && FirstFailureAt <= Leadership.provedAt() &&
                 Leadership.isProved(Now + RenewalTime);
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
  bool IsDoubted = FailedProbes > 0 || FirstFailureAt > Leadership.provedAt();
  if (IsDoubted || Offer.Age < base::duration::zero() || Offer.AskedAt > Now)
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
  bool IsDoubted = FailedProbes > 0 || FirstFailureAt > Leadership.provedAt();
  bool IsWanted = Now < WantedAt + DemandLifetime;
  return IsWanted && (IsDoubted || !Leadership.isProved(Now));
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

bool group_supervisor::isSuspected(base::time_point Now) const {
  bool IsLost =
      FailedProbes >= 2 && Now >= std::max(FirstFailureAt, PrimaryAnsweredAt) +
                                      Options.SuspicionDelay;
  bool AreWritesLost = WriteTimeouts >= WriteTimeoutsToSuspect;
  return IsLost || AreWritesLost;
}

bool group_supervisor::isPrimaryLeaving() const {
  if (!Leadership.primary())
    return false;
  auto Member = Members.find(*Leadership.primary());
  return Member != Members.end() && Member->second.IsListed &&
         Member->second.Listing.Draining;
}

bool group_supervisor::canFence(base::time_point Now) const {
  // A host that does not reach enough instances would hold the claim in vain.
  std::size_t Reached = 0;
  for (const auto &[Instance, Dated] : Leadership.conditions())
    if (Now <= Dated.SentAt + ReachedLifetime)
      ++Reached;
  return Reached + 1 >= Members.size();
}

bool group_supervisor::doesPrimaryLead(base::time_point Now) const {
  auto Dated = Leadership.conditions().find(*Leadership.primary());
  return Dated != Leadership.conditions().end() &&
         Now <= Dated->second.SentAt + ReachedLifetime &&
         Dated->second.Condition.Role == groups::instance_role::Primary &&
         Dated->second.Condition.Term == Leadership.highestTerm();
}

void group_supervisor::considerPromotion(base::time_point Now) {
  if (!Promotion.isIdle())
    return;
  bool IsLeaving = isPrimaryLeaving();
  if (!IsLeaving && !isSuspected(Now)) {
    ReplaceSince.reset();
    HasVoted = false;
    return;
  }
  if (!IsLeaving && Now >= NextVoteAt)
    castVote(Now);
  bool IsDue = IsLeaving || Votes.isAgreed(Leadership.highestTerm(), Size, Now);
  if (!IsDue || !Size.IsPromoter)
    return;
  if (!ReplaceSince)
    ReplaceSince = Now;
  if (Now < *ReplaceSince + Size.PromotionDelay)
    return;
  // A leaving primary that was already replaced is not replaced again.
  bool IsViewFresh = canFence(Now) && (!IsLeaving || doesPrimaryLead(Now));
  if (!IsViewFresh)
    startProbeIfDue(Now);
  else
    startPromotion(Now, IsLeaving ? "primary is leaving" : "primary is lost");
}

void group_supervisor::startProbeIfDue(base::time_point Now) {
  if (!IsProbing && Now >= NextProbeAt)
    startProbe(Now);
}

void group_supervisor::castVote(base::time_point Now) {
  NextVoteAt = Now + Options.VoteInterval;
  if (!HasVoted) {
    base::json Fields = Leadership.dump();
    Fields["group"] = Group.str();
    Fields["failed_probes"] = FailedProbes;
    Fields["write_timeouts"] = WriteTimeouts;
    Log.belief("vote for a promotion", Fields);
  }
  HasVoted = true;
  promotion_vote Vote{Group, Leadership.highestTerm(), Options.Host,
                      Options.Domain};
  Votes.receive(Vote, Now);
  for (const std::string &Promoter : Size.Promoters)
    Fleet.send(Vote, Promoter);
}

void group_supervisor::startPromotion(base::time_point Now,
                                      std::string_view Reason) {
  promotion_request Request;
  if (Leadership.primary())
    Request.OldPrimary = *Leadership.primary();
  Request.Term = Leadership.highestTerm();
  for (const auto &[Instance, Member] : Members)
    Request.Members.push_back({Instance, Member.Listing.Draining});
  promotion_actions Actions;
  Promotion.start(Request, Now, Actions);
  if (!Actions.empty()) {
    base::json Fields = Leadership.dump();
    Fields["group"] = Group.str();
    Fields["reason"] = Reason;
    Log.belief("promotion started", Fields);
  }
  perform(Actions, Now);
}

void group_supervisor::perform(const promotion_actions &Actions,
                               base::time_point Now) {
  for (const promotion_action &Action : Actions) {
    backend_request Call;
    base::instance_id Instance;
    if (const auto *StoreCall = std::get_if<promotion_store_call>(&Action)) {
      Store.execute(StoreCall->Request,
                    [this](const base::store_answer &Answer, auto At) {
                      promotion_actions Next;
                      Promotion.storeAnswered(Answer, At, Next);
                      perform(Next, At);
                    });
      continue;
    }
    if (const auto *End = std::get_if<promotion_abandoned>(&Action)) {
      base::json Fields = Promotion.dump();
      Fields["group"] = Group.str();
      Fields["reason"] = End->Reason;
      Log.belief("promotion given up", Fields);
      continue;
    }
    if (const auto *Order = std::get_if<promotion_order>(&Action)) {
      base::json Fields = Promotion.dump();
      Fields["group"] = Group.str();
      Log.belief("promotion ordered", Fields);
      Store.promote(Group, Order->Instance, Order->Generation,
                    [this](bool Accepted, auto At) {
                      promotion_actions Next;
                      Promotion.orderAnswered(Accepted, At, Next);
                      perform(Next, At);
                    });
      continue;
    }
    if (const auto *Fence = std::get_if<promotion_fence>(&Action)) {
      Call.Verb = Fence->IsPrimary ? backend_verb::Demote : backend_verb::Fence;
      Call.Term = Fence->Term;
      Instance = Fence->Instance;
    } else if (const auto *Unfence = std::get_if<promotion_unfence>(&Action)) {
      Call.Verb = backend_verb::Unfence;
      Instance = Unfence->Instance;
    } else {
      Call.Verb = backend_verb::Status;
      Instance = std::get<promotion_status>(Action).Instance;
    }
    Pool.call(Instance, CallAccount, Call, Now);
  }
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
