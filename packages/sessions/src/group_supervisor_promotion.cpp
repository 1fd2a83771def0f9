// Votes and promotions of group_supervisor.
#include "radishrelay/sessions/detail/group_supervisor.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// A single write time-out may be a lost answer; two without a successful write
/// in between indicate a failure.
constexpr std::uint32_t MinWriteTimeoutsToVote = 2;
/// Time within which the host that demoted a primary promotes an instance. If
/// it does not, the primary counts as lost although it answers.
constexpr base::duration DemotionPeriod = std::chrono::milliseconds(1500);
/// Time within which the successor of a leaving instance is listed, 1 s, and
/// for which the entry of an instance stays listed that is cut off, 3.6 s.
constexpr base::duration SuccessorPeriod = std::chrono::milliseconds(4600);
/// Time before the announcement of a leaving instance within which its
/// successor may have been listed: the platform may start the new instance
/// first.
constexpr base::duration SuccessorLeadTime = std::chrono::milliseconds(2500);

std::int64_t milliseconds(base::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

bool group_supervisor::isVoteDue(base::time_point Now) const {
  base::time_point SilentSince = DemotedSince ? *DemotedSince + DemotionPeriod
                                 : PrimaryAskedAt > PrimaryAnsweredAt
                                     ? PrimaryAskedAt
                                     : Now;
  bool IsLost =
      FailedProbes >= 2 &&
      Now >= std::max(FirstFailureAt, SilentSince) + Options.VoteDelay;
  bool AreWritesLost = WriteTimeouts >= MinWriteTimeoutsToVote;
  return IsLost || AreWritesLost;
}

bool group_supervisor::isPrimaryLeaving() const {
  if (!Leadership.leader() || DemotedSince)
    return false;
  auto Member = Members.find(*Leadership.leader());
  if (Member == Members.end() || !Member->second.IsListed)
    return false;
  return Member->second.Listing.Draining ||
         (isEvacuated(Member->second) && hasSuccessor() && !isPrimaryLost());
}

bool group_supervisor::canFence(base::time_point Now) const {
  // A host that cannot reach enough instances would hold the claim without
  // being able to promote.
  std::size_t Reached = 0;
  for (const auto &[Instance, Dated] : Leadership.statuses())
    if (isReachable(Instance, Now))
      ++Reached;
  return Reached + 1 >= Members.size();
}

replica_knowledge
group_supervisor::replicaKnowledge(base::time_point Now) const {
  replica_knowledge Knowledge;
  // Positions are recorded under confirmed leases; those of an earlier term say
  // nothing about commits of a leader that is not confirmed yet.
  if (Leadership.primary() && Leadership.term() == Leadership.highestTerm())
    Knowledge.NeededPosition = Leadership.positionSince(ReplicasChangedAt);
  // A primary that was demoted has acknowledged nothing beyond its log.
  if (!Knowledge.NeededPosition && Leadership.leaderOfHighestTerm()) {
    auto Dated = Leadership.statuses().find(*Leadership.leader());
    bool IsDemoted =
        Dated != Leadership.statuses().end() &&
        Dated->second.Status.Role == groups::instance_role::Replica &&
        Dated->second.Status.Term == Leadership.highestTerm();
    if (IsDemoted)
      Knowledge.NeededPosition = Dated->second.Status.Received;
  }
  Knowledge.IsListComplete = IsListComplete && !isSuccessorAwaited(Now);
  Knowledge.ListedAt = ListConfirmedAt;
  if (Settings.SyncReplicas > 0)
    Knowledge.Replicated = Leadership.replicatedPosition();
  auto Primary =
      Leadership.leader() ? Members.find(*Leadership.leader()) : Members.end();
  std::optional<base::failure_domain_id> Unreachable;
  if (Primary != Members.end() && !isInOwnDomain(Primary->first))
    Unreachable = Primary->second.Listing.Domain;
  Knowledge.AreCommitsReported = Survey.isComplete(Unreachable);
  Knowledge.Acknowledged = Survey.highest();
  if (LastAcknowledged && Settings.SyncReplicas > 0)
    Knowledge.Acknowledged = std::max(
        Knowledge.Acknowledged.value_or(*LastAcknowledged), *LastAcknowledged);
  return Knowledge;
}

void group_supervisor::advanceSurvey(base::time_point Now) {
  std::optional<base::time_point> FencedAt = Promotion.fencedWithoutPrimaryAt();
  if (!FencedAt) {
    Survey.end();
    return;
  }
  if (!Survey.isRunning() || Survey.fencedAt() != *FencedAt) {
    // This host acknowledges no more commits under its lease either.
    Leadership.release(Now);
    Survey.begin({Group, Leadership.highestTerm(),
                  static_cast<std::uint64_t>(base::toMicroseconds(*FencedAt))},
                 *FencedAt);
  }
  Survey.advance(Now);
  std::optional<base::time_point> NeededAt = Promotion.listNeededAt();
  if (NeededAt && Now >= *NeededAt && ListConfirmedAt < *NeededAt)
    IsListRequested = true;
}

void group_supervisor::receive(const commit_inquiry &Inquiry,
                               const std::string &ReplyTo,
                               base::time_point Now) {
  if (Leadership.term() <= Inquiry.Term)
    Leadership.release(Now);
  commit_report Report{Group, Inquiry.Round, Options.Host, Now - StartedAt};
  if (Settings.SyncReplicas > 0)
    Report.Acknowledged = LastAcknowledged;
  Fleet.send(Report, ReplyTo);
}

bool group_supervisor::isSuccessorAwaited(base::time_point Now) const {
  return std::ranges::any_of(Members, [&](const auto &Entry) {
    const member_state &Leaving = Entry.second;
    bool HasSuccessor =
        std::ranges::any_of(Members, [&](const auto &OtherEntry) {
          const member_state &Other = OtherEntry.second;
          return !Other.Listing.Draining &&
                 Other.Listing.Domain == Leaving.Listing.Domain &&
                 Other.FirstListedAt + SuccessorLeadTime >=
                     Leaving.LeavingSince;
        });
    base::time_point SeenUntil = Leaving.IsListed ? Now : Leaving.UnlistedAt;
    return Leaving.Listing.Draining && !HasSuccessor &&
           SeenUntil < Leaving.LeavingSince + SuccessorPeriod;
  });
}

bool group_supervisor::canReplaceWithoutPrimary(base::time_point Now) const {
  std::optional<base::instance_id> Primary = Leadership.leaderOfHighestTerm();
  replica_knowledge Knowledge = replicaKnowledge(Now);
  if (!Primary || !Members.contains(*Primary))
    return Knowledge.IsListComplete;
  bool IsHeld =
      std::ranges::any_of(Leadership.statuses(), [&](const auto &Entry) {
        return Entry.first != *Primary && Knowledge.NeededPosition &&
               Entry.second.Status.Received >= *Knowledge.NeededPosition;
      });
  return Knowledge.IsListComplete && IsHeld;
}

bool group_supervisor::doesPrimaryLead(base::time_point Now) const {
  auto Dated = Leadership.statuses().find(*Leadership.leader());
  return isReachable(*Leadership.leader(), Now) &&
         Dated->second.Status.Role == groups::instance_role::Primary &&
         Dated->second.Status.Term == Leadership.highestTerm();
}

void group_supervisor::considerPromotion(base::time_point Now) {
  if (!Promotion.isIdle())
    return;
  bool IsLeaving = isPrimaryLeaving();
  if (!IsLeaving && !isVoteDue(Now)) {
    ReplaceDueSince.reset();
    HasVoted = false;
    return;
  }
  if (!IsLeaving && Roles.IsProber && Now >= NextVoteAt)
    castVote(Now);
  bool IsDue =
      IsLeaving || Votes.hasQuorum(Leadership.highestTerm(), Roles, Now);
  if (!IsDue || !Roles.IsPromoter || !MayPromote)
    return;
  if (!ReplaceDueSince)
    ReplaceDueSince = Now;
  if (Now < *ReplaceDueSince + Roles.PromotionDelay)
    return;
  // Avoids replacing a leaving primary that another host has already replaced.
  std::optional<base::instance_id> Primary = Leadership.leaderOfHighestTerm();
  bool CanReplace = IsLeaving ? doesPrimaryLead(Now)
                              : DemotedSince ||
                                    (Primary && isReachable(*Primary, Now)) ||
                                    canReplaceWithoutPrimary(Now);
  bool IsViewFresh = canFence(Now) && CanReplace;
  if (!IsViewFresh)
    startProbeIfDue(Now);
  else
    startPromotion(Now, !IsLeaving ? "primary is lost"
                        : isEvacuated(Members.at(*Leadership.leader()))
                            ? "primary is evacuated"
                            : "primary is leaving");
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
    Log.stateChange("vote for a promotion", Fields);
  }
  HasVoted = true;
  promotion_vote Vote{Group, Leadership.highestTerm(), Options.Host,
                      Options.Domain};
  Votes.receive(Vote, Now);
  for (const std::string &Promoter : Roles.Promoters)
    Fleet.send(Vote, Promoter);
}

void group_supervisor::startPromotion(base::time_point Now,
                                      std::string_view Reason) {
  promotion_request Request;
  if (std::optional<base::instance_id> Primary =
          Leadership.leaderOfHighestTerm()) {
    Request.OldPrimary = *Primary;
    Request.IsPrimaryReachable =
        DemotedSince.has_value() || isReachable(*Primary, Now);
  }
  Request.Term = Leadership.highestTerm();
  for (const auto &[Instance, Member] : Members)
    Request.Members.push_back(asPromotionMember(Instance, Member));
  promotion_actions Actions;
  Promotion.setHistorySeenAt(History.firstSeenAt().value_or(Now));
  Promotion.start(Request, Now, Actions);
  if (!Actions.empty()) {
    IsListRequested = true;
    base::json Fields = Leadership.dump();
    Fields["group"] = Group.str();
    Fields["reason"] = Reason;
    Log.stateChange("promotion started", Fields);
  }
  executeActions(Actions, Now);
}

void group_supervisor::executeActions(const promotion_actions &Actions,
                                      base::time_point Now) {
  for (const promotion_action &Action : Actions) {
    backend_request Call;
    base::instance_id Instance;
    if (const auto *StoreCall = std::get_if<promotion_store_call>(&Action)) {
      Store.execute(
          StoreCall->Request, [this, Number = StoreCall->Number](
                                  const base::store_answer &Answer, auto At) {
            promotion_actions Next;
            promotion_stage Before = Promotion.stage();
            Promotion.setHistorySeenAt(History.firstSeenAt().value_or(At));
            Promotion.storeAnswered(Number, Answer, At, Next);
            Leadership.recordTerm(Promotion.ledTerm());
            bool IsClaimed = Before < promotion_stage::Fencing &&
                             Promotion.stage() == promotion_stage::Fencing;
            if (IsClaimed) {
              base::json Fields = Promotion.dump();
              Fields["group"] = Group.str();
              Fields["answer_ms"] = milliseconds(At - Answer.SentAt);
              Log.stateChange("promotion claimed", Fields);
            }
            executeActions(Next, At);
          });
      continue;
    }
    if (const auto *End = std::get_if<promotion_abandoned>(&Action)) {
      base::json Fields = Promotion.dump();
      Fields["group"] = Group.str();
      Fields["reason"] = End->Reason;
      Log.stateChange("promotion given up", Fields);
      continue;
    }
    if (const auto *Order = std::get_if<promotion_order>(&Action)) {
      base::json Fields = Promotion.dump();
      Fields["group"] = Group.str();
      Log.stateChange("promotion ordered", Fields);
      Store.promote(
          Group, Order->Instance, Order->Generation, Order->Deadline,
          [this, Number = Order->Number](order_outcome Outcome, auto At) {
            Promotion.orderAnswered(Number, Outcome, At);
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

} // namespace radishrelay::sessions::detail
