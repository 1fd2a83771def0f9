// Votes and promotions of group_supervisor.
#include "radishrelay/sessions/detail/group_supervisor.h"

namespace radishrelay::sessions::detail {

namespace {

/// A single write time-out may be a lost answer; two without a successful write
/// in between indicate a failure.
constexpr std::uint32_t MinWriteTimeoutsToVote = 2;

} // namespace

bool group_supervisor::isVoteDue(base::time_point Now) const {
  bool IsLost =
      FailedProbes >= 2 &&
      Now >= std::max(FirstFailureAt, PrimaryAnsweredAt) + Options.VoteDelay;
  bool AreWritesLost = WriteTimeouts >= MinWriteTimeoutsToVote;
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
  // A host that cannot reach enough instances would hold the claim without
  // being able to promote.
  std::size_t Reached = 0;
  for (const auto &[Instance, Dated] : Leadership.statuses())
    if (isReachable(Instance, Now))
      ++Reached;
  return Reached + 1 >= Members.size();
}

bool group_supervisor::doesPrimaryLead(base::time_point Now) const {
  auto Dated = Leadership.statuses().find(*Leadership.primary());
  return isReachable(*Leadership.primary(), Now) &&
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
  if (!IsDue || !Roles.IsPromoter)
    return;
  if (!ReplaceDueSince)
    ReplaceDueSince = Now;
  if (Now < *ReplaceDueSince + Roles.PromotionDelay)
    return;
  // Avoids replacing a leaving primary that another host has already replaced.
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
  if (Leadership.primary())
    Request.OldPrimary = *Leadership.primary();
  Request.Term = Leadership.highestTerm();
  for (const auto &[Instance, Member] : Members)
    Request.Members.push_back({Instance, Member.Listing.Draining});
  promotion_actions Actions;
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
      Store.execute(StoreCall->Request,
                    [this](const base::store_answer &Answer, auto At) {
                      promotion_actions Next;
                      Promotion.storeAnswered(Answer, At, Next);
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
      Store.promote(Group, Order->Instance, Order->Generation,
                    [this](bool Accepted, auto At) {
                      promotion_actions Next;
                      Promotion.orderAnswered(Accepted, At, Next);
                      executeActions(Next, At);
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
