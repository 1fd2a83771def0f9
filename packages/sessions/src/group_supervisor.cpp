#include "radishrelay/sessions/detail/group_supervisor.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Interval at which a read of the claim is requested again while it is needed.
constexpr base::duration ClaimRequestInterval = std::chrono::milliseconds(50);
/// Time within which all entries of a failure domain that is cut off expire: an
/// interval of the instances' reports and the delay of the list.
constexpr base::duration ListingExpiryWindow = std::chrono::milliseconds(2500);
/// An instance whose last answered status call was sent within this time counts
/// as reachable. Longer than a lease, so that each renewal of a proof confirms
/// it.
constexpr base::duration ReachableLifetime = std::chrono::milliseconds(1000);

} // namespace

group_supervisor::group_supervisor(base::group_id Group,
                                   const engine_options &Options,
                                   backend_pool &Pool, store_calls &Store,
                                   const store_history &History,
                                   fleet_members &Fleet, claim_watch &Claims,
                                   domain_contact &Contact, event_log &Log,
                                   base::time_point StartedAt)
    : Group(std::move(Group)), Options(Options), Pool(Pool), Store(Store),
      History(History), Fleet(Fleet), Claims(Claims), Contact(Contact),
      Log(Log), Leadership(Options.LeaseDuration),
      Promotion(this->Group, Options), Votes(Options.VoteLifetime),
      Survey(Fleet), StartedAt(StartedAt) {}

void group_supervisor::setListings(
    const std::map<base::instance_id, instance_listing> &List,
    base::time_point Now) {
  for (auto &[Instance, Member] : Members) {
    bool IsListed = List.contains(Instance);
    if (Member.IsListed && !IsListed)
      Member.UnlistedAt = Now;
    Member.IsListed = IsListed;
  }
  ListedDomains.clear();
  for (const auto &[Instance, Listing] : List) {
    ListedDomains.insert(Listing.Domain);
    if (Listing.Group != Group)
      continue;
    auto [Entry, IsNew] = Members.try_emplace(Instance);
    member_state &Member = Entry->second;
    if (IsNew)
      Member.FirstListedAt = Now;
    bool IsRestarted = Member.Listing.StartedAt != 0 &&
                       Member.Listing.StartedAt != Listing.StartedAt;
    if (IsRestarted && Leadership.leader() != Instance)
      ReplicasChangedAt = Now;
    if (Listing.Draining && !Member.Listing.Draining)
      Member.LeavingSince = Now;
    Member.Listing = Listing;
    Member.IsListed = true;
  }
  updateMembers(Now);
  updatePromotionMembers(Now);
}

void group_supervisor::setEvacuated(std::set<base::failure_domain_id> Evacuated,
                                    std::set<base::failure_domain_id> Closed,
                                    base::time_point Now) {
  EvacuatedDomains = std::move(Evacuated);
  ClosedDomains = std::move(Closed);
  updatePromotionMembers(Now);
}

bool group_supervisor::isPrimaryShutOff() const {
  auto Primary =
      Leadership.leader() ? Members.find(*Leadership.leader()) : Members.end();
  return Primary != Members.end() &&
         ClosedDomains.contains(Primary->second.Listing.Domain) &&
         !hasSuccessor();
}

promotion_member
group_supervisor::asPromotionMember(const base::instance_id &Instance,
                                    const member_state &Member) const {
  return {Instance, Member.Listing.Draining, isEvacuated(Member)};
}

void group_supervisor::updatePromotionMembers(base::time_point Now) {
  promotion_actions Actions;
  for (const auto &[Instance, Member] : Members)
    Promotion.recordListedMember(asPromotionMember(Instance, Member), Now,
                                 Actions);
  executeActions(Actions, Now);
}

bool group_supervisor::hasSuccessor() const {
  return std::ranges::any_of(Members, [this](const auto &Entry) {
    const member_state &Member = Entry.second;
    return Member.IsListed && !Member.Listing.Draining && !isEvacuated(Member);
  });
}

bool group_supervisor::hasLeft(const base::instance_id &Instance,
                               const member_state &Member) const {
  bool HasAnnounced =
      Member.Listing.Draining &&
      Member.UnlistedAt >= Member.LeavingSince + Options.LeavingDuration;
  // An entry also expires when its failure domain is cut off. The instance may
  // then still acknowledge commits; the other entries of the domain expire soon
  // after.
  bool IsDomainListed =
      ListConfirmedAt >= Member.UnlistedAt + ListingExpiryWindow &&
      ListedDomains.contains(Member.Listing.Domain);
  return HasAnnounced && IsDomainListed && Leadership.leader() != Instance;
}

void group_supervisor::updateMembers(base::time_point Now) {
  std::set<base::instance_id> Names;
  for (const auto &[Instance, Member] : Members)
    Names.insert(Instance);
  Leadership.setMembers(std::move(Names), Now);
}

void group_supervisor::setSettings(const group_settings &NewSettings) {
  Settings = NewSettings;
}

std::optional<base::instance_id>
group_supervisor::usablePrimary(base::time_point Now) const {
  if (isPrimaryUnresponsive() || !Leadership.isProved(Now))
    return std::nullopt;
  return Leadership.primary();
}

std::optional<base::instance_id> group_supervisor::primaryForWrites() const {
  if (isPrimaryUnresponsive() || Settings.SyncReplicas == 0 ||
      !Promotion.isIdle() || !Leadership.primary() ||
      isInOwnDomain(*Leadership.primary()))
    return std::nullopt;
  return Leadership.primary();
}

bool group_supervisor::isInOwnDomain(const base::instance_id &Instance) const {
  auto Member = Members.find(Instance);
  return Member != Members.end() &&
         Member->second.Listing.Domain == Options.Domain;
}

bool group_supervisor::isPromotionOrdered() const {
  return Promotion.isOrdered();
}

bool group_supervisor::isProbeNeeded(base::time_point Now) const {
  if (Now >= ProofRequestedAt + demandLifetime() || isPrimaryShutOff())
    return false;
  // Hosts that are not probers probe only to check whether they can reach the
  // primary again.
  if (!Roles.IsProber)
    return isPrimarySuspected() && Leadership.leader();
  // Commits that no host outside can ask for need the status of a replica.
  bool IsStatusNeeded = Contact.isSilent(Now) && isCommitWaiting(Now);
  base::time_point RenewedBy = Now + RenewalLeadTime;
  return isPrimarySuspected() || IsStatusNeeded ||
         !(Leadership.isProved(RenewedBy) ||
           Leadership.claimAwaitedSince(RenewedBy));
}

bool group_supervisor::isReachable(const base::instance_id &Instance,
                                   base::time_point Now) const {
  auto Dated = Leadership.statuses().find(Instance);
  return Dated != Leadership.statuses().end() &&
         Now <= Dated->second.SentAt + ReachableLifetime;
}

std::vector<base::instance_id>
group_supervisor::probeTargets(base::time_point Now) const {
  std::vector<base::instance_id> All;
  for (const auto &[Instance, Member] : Members)
    All.push_back(Instance);
  std::optional<base::instance_id> Primary = Leadership.leaderOfHighestTerm();
  if (!Primary)
    return All;
  if (!Roles.IsProber && !Roles.IsPromoter)
    return {*Primary};
  if (isPrimarySuspected() || isPrimaryLeaving() || Claims.isOverdue())
    return All;
  // The statuses of the primary and one replica form a proof; a replica in this
  // domain is preferred because calls to it are cheap. Instances in evacuated
  // failure domains are called only if there is no other one.
  std::optional<base::instance_id> Confirming;
  std::vector<base::instance_id> Outside;
  for (const auto &[Instance, Member] : Members) {
    bool IsPrimary = Instance == *Primary;
    if (!IsPrimary && isEvacuated(Member))
      continue;
    Outside.push_back(Instance);
    bool IsNear = Member.Listing.Domain == Options.Domain;
    bool IsCandidate =
        !IsPrimary && Member.IsListed && isReachable(Instance, Now);
    if (IsCandidate && (!Confirming || IsNear))
      Confirming = Instance;
  }
  if (Confirming)
    return {*Primary, *Confirming};
  return Outside.size() > 1 ? Outside : All;
}

bool group_supervisor::isTakenForPrimary(
    const base::instance_id &Instance) const {
  if (Leadership.leader())
    return Leadership.leaderOfHighestTerm() == Instance;
  auto Member = Members.find(Instance);
  return Member != Members.end() &&
         Member->second.Listing.Role == groups::instance_role::Primary;
}

void group_supervisor::startProbe(base::time_point Now) {
  IsProbing = true;
  ProbeStartedAt = Now;
  NextProbeAt = Now + Options.ProbeInterval;
  backend_request StatusCall;
  StatusCall.Verb = backend_verb::Status;
  IsPrimaryAsked = true;
  for (const base::instance_id &Instance : probeTargets(Now)) {
    bool IsSent = Pool.call(Instance, CallAccount, StatusCall, Now);
    // The leader may have been removed from the members.
    auto Member = Members.find(Instance);
    bool IsListed = Member != Members.end() && Member->second.IsListed;
    bool IsUnasked = !IsSent && IsListed && !Pool.isAnswerAwaited(Instance);
    if (isTakenForPrimary(Instance) && IsUnasked)
      IsPrimaryAsked = false;
  }
  if (IsPrimaryAsked && PrimaryAskedAt <= PrimaryAnsweredAt)
    PrimaryAskedAt = Now;
}

void group_supervisor::endProbe(base::time_point Now) {
  IsProbing = false;
  NextProbeAt = std::max(NextProbeAt, Now);
  if (!IsPrimaryAsked)
    return;
  if (FailedProbes++ == 0) {
    FirstFailureAt = ProbeStartedAt;
    base::json Fields = Leadership.dump();
    Fields["group"] = Group.str();
    Log.stateChange("primary not proved by a probe", Fields);
  }
}

void group_supervisor::recordProbeAnswered() {
  IsProbing = false;
  FailedProbes = 0;
  FirstFailureAt = {};
  DemotedSince.reset();
}

void group_supervisor::recordPrimaryProved(base::time_point Now) {
  recordProbeAnswered();
  answerOpenRequests(Now);
  if (LoggedPrimary == Leadership.primary() && LoggedTerm == Leadership.term())
    return;
  LoggedPrimary = Leadership.primary();
  LoggedTerm = Leadership.term();
  WriteTimeouts = 0;
  ReplicasChangedAt = Now;
  ReplaceDueSince.reset();
  base::json Fields = Leadership.dump();
  Fields["group"] = Group.str();
  Log.stateChange("primary proved", Fields);
}

void group_supervisor::recordFailure(const base::instance_id &Instance,
                                     base::time_point Now) {
  if (Leadership.leader() != Instance)
    return;
  if (FirstFailureAt <= Leadership.provedAt())
    FirstFailureAt = Now;
  requestProof(Now);
}

void group_supervisor::recordWriteTimeout(const base::instance_id &Instance) {
  if (Leadership.leader() != Instance)
    return;
  ++WriteTimeouts;
}

void group_supervisor::recordCommit(const base::instance_id &Instance,
                                    groups::log_position Position,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  Leadership.recordCommit(Instance, Position, SentAt, Now);
  if (Leadership.leader() == Instance) {
    WriteTimeouts = 0;
    bool IsProvedSinceFailure = SentAt > FirstFailureAt &&
                                Leadership.isProved(Now) &&
                                Leadership.provedAt() >= FirstFailureAt;
    if (IsProvedSinceFailure)
      recordPrimaryProved(Now);
  }
}

bool group_supervisor::callAnswered(const base::instance_id &Instance,
                                    const instance_status &Status,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  Leadership.recordStatus(Instance, Status, SentAt, Now);
  if (Claims.isOverdue())
    Leadership.confirmByMembers(Now);
  requestClaimIfNeeded(Now);
  bool IsDemoted = Leadership.leaderOfHighestTerm() == Instance &&
                   Status.Role == groups::instance_role::Replica &&
                   Status.Term == Leadership.highestTerm();
  if (IsDemoted && !DemotedSince)
    DemotedSince = Now;
  promotion_actions Actions;
  Promotion.setReplicaKnowledge(replicaKnowledge(Now));
  Promotion.instanceAnswered(Instance, Status, SentAt, Now, Actions);
  executeActions(Actions, Now);
  bool IsReachable = !Roles.IsProber && IsProbing &&
                     Leadership.leader() == Instance &&
                     Status.Role == groups::instance_role::Primary;
  if (IsReachable) {
    // The primary is reachable again, but a proof has to come from a prober;
    // request one at once.
    IsProbing = false;
    FailedProbes = 0;
    NextProofRequestAt = Now;
  }
  // A probe whose lease awaits the claim has not failed.
  bool IsClaimAwaited =
      Leadership.claimAwaitedSince(Now) &&
      Leadership.latestProofAt() >= std::max(ProbeStartedAt, FirstFailureAt);
  if (IsClaimAwaited)
    recordProbeAnswered();
  bool IsProved = isProvedAnew(Now);
  if (IsProved &&
      (IsProbing || FailedProbes > 0 || LoggedTerm != Leadership.term()))
    recordPrimaryProved(Now);
  return IsProved;
}

bool group_supervisor::isProvedAnew(base::time_point Now) const {
  return Leadership.isProved(Now) && Leadership.provedAt() >= ProbeStartedAt &&
         Leadership.provedAt() >= FirstFailureAt;
}

void group_supervisor::advance(base::time_point Now) {
  std::vector<base::instance_id> Removed;
  std::erase_if(Members, [&](const auto &Entry) {
    const member_state &Member = Entry.second;
    bool IsOld = !Member.IsListed &&
                 (Now >= Member.UnlistedAt + Options.UnlistedLifetime ||
                  hasLeft(Entry.first, Member));
    if (IsOld)
      Removed.push_back(Entry.first);
    if (IsOld && Leadership.leader() != Entry.first)
      ReplicasChangedAt = Now;
    return IsOld;
  });
  if (!Removed.empty()) {
    for (const base::instance_id &Instance : Removed)
      Promotion.recordMemberRemoved(Instance);
    updateMembers(Now);
    Leadership.recordMemberRemoved(Now);
  }
  if (IsProbing && Now >= ProbeStartedAt + Options.StatusTimeout)
    endProbe(Now);
  seekProof(Now);
  requestClaimIfNeeded(Now);
  considerPromotion(Now);
  advanceSurvey(Now);
  promotion_actions Actions;
  Promotion.setReplicaKnowledge(replicaKnowledge(Now));
  Promotion.advance(Now, Actions);
  executeActions(Actions, Now);
}

base::time_point group_supervisor::nextWake(base::time_point Now) const {
  base::time_point Wake = std::min(Promotion.nextWake(), Survey.nextWake());
  if (IsProbing)
    Wake = std::min(Wake, ProbeStartedAt + Options.StatusTimeout);
  else if (isProbeNeeded(Now))
    Wake = std::min(Wake, std::max(NextProbeAt, ReplyDeadline.value_or(Now)));
  else if (Roles.IsProber && Now < ProofRequestedAt + demandLifetime())
    Wake = std::min(Wake, Leadership.latestProofAt() + Options.LeaseDuration -
                              RenewalLeadTime);
  else if (Now < ProofRequestedAt + demandLifetime() &&
           !Leadership.isProved(Now))
    Wake = std::min(Wake, NextProofRequestAt);
  if (claimNeededFor(Now))
    Wake = std::min(Wake, Now + ClaimRequestInterval);
  if (ReplaceDueSince)
    Wake = std::min(Wake, *ReplaceDueSince + Roles.PromotionDelay);
  if (isVoteDue(Now))
    Wake = std::min(Wake, NextVoteAt);
  return Wake;
}

base::json group_supervisor::dump() const {
  base::json Result = Leadership.dump();
  Result["failed_probes"] = FailedProbes;
  Result["write_timeouts"] = WriteTimeouts;
  Result["prober"] = Roles.IsProber;
  Result["first_prober"] = Roles.IsFirstProber;
  Result["open_wishes"] = OpenRequests.size();
  Result["promotion"] = Promotion.dump();
  return Result;
}

} // namespace radishrelay::sessions::detail
