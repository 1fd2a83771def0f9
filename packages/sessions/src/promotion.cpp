#include "radishrelay/sessions/promotion.h"
#include "promotion_periods.h"

#include <algorithm>
#include <utility>

namespace radishrelay::sessions {

namespace {

using detail::CallInterval;
using detail::JoinPeriod;
using detail::RetryDelay;

/// Time after the deadline of a claim during which its host removes fences.
/// Other hosts respect the claim for 1 s more than that deadline.
constexpr base::duration UnfencePeriod = std::chrono::milliseconds(500);
/// Time by which the fences of the replicas follow the demotion of a primary
/// that answers.
constexpr base::duration DemotionLeadTime = std::chrono::milliseconds(40);
/// Time to wait for the most advanced instance once enough members are fenced.
constexpr base::duration FenceTimeout = std::chrono::milliseconds(120);

} // namespace

promotion::promotion(base::group_id Group, const engine_options &Options)
    : Group(std::move(Group)), Options(Options), Random(Options.RandomSeed) {}

void promotion::enter(promotion_stage Next, base::time_point Due) {
  Stage = Next;
  DueAt = Due;
  OpenCall.reset();
}

base::time_point promotion::nextWake() const {
  return isIdle() ? base::time_point::max() : DueAt;
}

void promotion::start(promotion_request NewRequest, base::time_point Now,
                      promotion_actions &Actions) {
  if (!isIdle() || Now < NotBefore || mayClaimBeLost(Now))
    return;
  Request = std::move(NewRequest);
  Fenced.clear();
  Verified.clear();
  FencedAt.reset();
  Candidate = {};
  BetterAwaitedUntil.reset();
  OrderDeadline = {};
  OpenOrders = 0;
  EarlierOrders = LastOrder;
  // The claim of an earlier attempt has expired; this attempt needs its own.
  Operation.clear();
  readClaim(Now, Actions);
}

void promotion::abandon(std::string_view Reason, base::time_point Now,
                        promotion_actions &Actions) {
  Actions.push_back(promotion_abandoned{std::string(Reason)});
  bool IsOrderOpen = OpenOrders > 0;
  bool MayTakeEffect = IsOrderOpen || Stage == promotion_stage::Confirming;
  // Later the fences may be those of another host that promotes.
  bool IsClaimHeld =
      Now < std::max(ClaimDeadline + UnfencePeriod, AttemptDeadline);
  for (const auto &[Instance, Status] : Fenced)
    if (Status.Role == groups::instance_role::Replica && !MayTakeEffect &&
        IsClaimHeld)
      Actions.push_back(promotion_unfence{Instance});
  bool IsAnnounced = OrderDeadline != base::time_point{};
  if (!MayTakeEffect)
    AnnouncedTerm = EarlierAnnouncedTerm;
  if (IsAnnounced && !IsOrderOpen)
    writeClaim(claim_state::Open, Actions);
  NotBefore = Now + RetryDelay +
              base::duration(static_cast<std::int64_t>(Random.below(
                  static_cast<std::uint64_t>(RetryDelay.count()))));
  enter(promotion_stage::Idle, NotBefore);
}

void promotion::abandonExpired(base::time_point Now,
                               promotion_actions &Actions) {
  bool IsLogMissing = Replicated && Fenced.size() >= neededFences() &&
                      std::ranges::none_of(Fenced, [this](const auto &Entry) {
                        return Entry.second.Received >= *Replicated;
                      });
  abandon(IsLogMissing
              ? "no fenced instance holds the log that a replica has shown"
              : "the claim expires before the platform has accepted an order",
          Now, Actions);
}

void promotion::beginFencing(base::time_point Now, promotion_actions &Actions) {
  // An announced order that has taken effect unseen leads the announced term,
  // and a fence for that term would not hold against its primary.
  FenceTerm = std::max(Request.Term, EarlierAnnouncedTerm) + 1;
  FencedAt.reset();
  IsPrimaryDemoted = false;
  if (Request.IsPrimaryReachable && isMember(Request.OldPrimary)) {
    enter(promotion_stage::Fencing, Now + DemotionLeadTime);
    fence(Request.OldPrimary, Actions);
    return;
  }
  enter(promotion_stage::Fencing, Now + CallInterval);
  sendFences(Actions);
}

void promotion::fence(const base::instance_id &Instance,
                      promotion_actions &Actions) const {
  bool IsPrimary = Instance == Request.OldPrimary && !IsPrimaryDemoted;
  Actions.push_back(promotion_fence{Instance, IsPrimary, FenceTerm});
}

void promotion::sendFences(promotion_actions &Actions) const {
  for (const promotion_member &Member : Request.Members)
    if (!Fenced.contains(Member.Instance))
      fence(Member.Instance, Actions);
}

bool promotion::isMember(const base::instance_id &Instance) const {
  return std::ranges::any_of(Request.Members, [&](const auto &Member) {
    return Member.Instance == Instance;
  });
}

std::size_t promotion::neededFences() const {
  // If the primary is one of the members, one of them may be missing: either
  // the primary itself, or a replica, whose commits the primary holds.
  std::size_t Count = Request.Members.size();
  return Count > 1 && isMember(Request.OldPrimary) ? Count - 1 : Count;
}

bool promotion::isFenced(const instance_status &Status) const {
  return Status.Role == groups::instance_role::Replica &&
         Status.FencedTerm >= FenceTerm;
}

void promotion::instanceAnswered(const base::instance_id &Instance,
                                 const instance_status &Status,
                                 base::time_point SentAt, base::time_point Now,
                                 promotion_actions &Actions) {
  if (Stage == promotion_stage::Confirming) {
    if (Instance == Candidate && Now < AttemptDeadline)
      onCandidateAnswer(Status, Now, Actions);
    return;
  }
  if (Stage < promotion_stage::Fencing || Stage > promotion_stage::Verifying)
    return;
  if (Status.Term > Request.Term)
    onNewerTerm(Instance, Status, Now, Actions);
  else if (Stage == promotion_stage::Verifying)
    onVerified(Instance, Status, SentAt, Now, Actions);
  else
    onFenceAnswer(Instance, Status, Now, Actions);
}

void promotion::onFenceAnswer(const base::instance_id &Instance,
                              const instance_status &Status,
                              base::time_point Now,
                              promotion_actions &Actions) {
  if (!isFenced(Status)) {
    onUnfencedAnswer(Instance, Status, Actions);
    return;
  }
  Fenced[Instance] = Status;
  if (Fenced.size() >= neededFences())
    awaitLeases(Now);
}

void promotion::awaitLeases(base::time_point Now) {
  if (!FencedAt)
    FencedAt = Now;
  if (Stage == promotion_stage::Fencing)
    enter(promotion_stage::AwaitingLeases, Now + FenceTimeout);
}

void promotion::onUnfencedAnswer(const base::instance_id &Instance,
                                 const instance_status &Status,
                                 promotion_actions &Actions) {
  bool IsPrimary = Status.Role == groups::instance_role::Primary;
  bool IsOldPrimary = Instance == Request.OldPrimary;
  if (IsPrimary && !IsOldPrimary) {
    Actions.push_back(promotion_fence{Instance, true, FenceTerm});
  } else if (!IsPrimary && IsOldPrimary && !IsPrimaryDemoted) {
    // The replicas are fenced now too; see promotion_request.
    IsPrimaryDemoted = true;
    sendFences(Actions);
  }
}

void promotion::beginVerifying(base::time_point Now,
                               promotion_actions &Actions) {
  Verified.clear();
  enter(promotion_stage::Verifying, Now + CallInterval);
  for (const auto &[Instance, Status] : Fenced)
    Actions.push_back(promotion_status{Instance});
  // A member that answers only now may be the one that the promotion lacks.
  sendFences(Actions);
}

base::time_point promotion::leasesExpireAt() const {
  return *FencedAt + Options.LeaseDuration + Options.LeaseMargin;
}

void promotion::resumeVerifying(base::time_point Now,
                                promotion_actions &Actions) {
  if (Fenced.empty() || Fenced.size() < neededFences())
    beginFencing(Now, Actions);
  else
    beginVerifying(Now, Actions);
}

void promotion::onVerified(const base::instance_id &Instance,
                           const instance_status &Status,
                           base::time_point SentAt, base::time_point Now,
                           promotion_actions &Actions) {
  if (!Fenced.contains(Instance)) {
    if (isFenced(Status))
      Fenced[Instance] = Status;
    else
      onUnfencedAnswer(Instance, Status, Actions);
    return;
  }
  if (!isFenced(Status)) {
    // The instance restarted and lost its fence, so it may have confirmed
    // proofs of the old primary since; fencing starts again.
    Fenced.erase(Instance);
    Verified.erase(Instance);
    beginFencing(Now, Actions);
    return;
  }
  // An earlier answer does not show that the fence has lasted until now.
  if (SentAt < leasesExpireAt())
    return;
  Fenced[Instance] = Status;
  Verified.insert(Instance);
  if (Verified.size() < neededFences() || !holdsAllCommits())
    return;
  base::instance_id Ordered = OpenOrders > 0 ? Candidate : base::instance_id();
  chooseCandidate();
  if (isBetterCandidateAwaited(Now)) {
    Candidate = Ordered;
    return;
  }
  if (!Ordered.empty() && Candidate != Ordered) {
    Candidate = Ordered;
    abandon("another instance is ahead of the one that was ordered", Now,
            Actions);
    return;
  }
  announceOrder(Now, Actions);
}

void promotion::recordListedMember(const promotion_member &Member,
                                   base::time_point Now,
                                   promotion_actions &Actions) {
  auto Known = std::ranges::find(Request.Members, Member.Instance,
                                 &promotion_member::Instance);
  if (Known != Request.Members.end())
    Known->Evacuated = Member.Evacuated;
  bool IsUndecided =
      Stage != promotion_stage::Idle && Stage < promotion_stage::Confirming;
  if (!IsUndecided || Known != Request.Members.end())
    return;
  Request.Members.push_back(Member);
  bool IsFencedLater =
      Stage < promotion_stage::Fencing || Stage == promotion_stage::Ordering;
  if (IsFencedLater)
    return;
  fence(Member.Instance, Actions);
  if (Fenced.size() >= neededFences())
    return;
  // Leases may rest on an instance that was listed before the claim was
  // written. They rest on no later one, see group_leadership.
  if (Knowledge.ListedAt < ClaimedAt)
    FencedAt.reset();
  enter(promotion_stage::Fencing, Now + CallInterval);
}

void promotion::recordMemberRemoved(const base::instance_id &Instance) {
  bool IsOrdered = OpenOrders > 0 && Instance == Candidate;
  if (isIdle() || Stage >= promotion_stage::Announcing || IsOrdered)
    return;
  std::erase_if(Request.Members, [&](const auto &Member) {
    return Member.Instance == Instance;
  });
  Fenced.erase(Instance);
  Verified.erase(Instance);
}

std::optional<base::time_point> promotion::fencedWithoutPrimaryAt() const {
  bool IsDeciding =
      Stage > promotion_stage::Fencing && Stage < promotion_stage::Announcing;
  return IsDeciding && !Fenced.contains(Request.OldPrimary) ? FencedAt
                                                            : std::nullopt;
}

std::optional<base::time_point> promotion::listNeededAt() const {
  if (!fencedWithoutPrimaryAt() || areUnlistedExcluded())
    return std::nullopt;
  return leasesExpireAt() + JoinPeriod;
}

void promotion::advance(base::time_point Now, promotion_actions &Actions) {
  if (isIdle() || Now < DueAt)
    return;
  if (Now >= AttemptDeadline && Stage > promotion_stage::Claiming &&
      Stage < promotion_stage::Confirming) {
    abandonExpired(Now, Actions);
    return;
  }
  switch (Stage) {
  case promotion_stage::Idle:
    return;
  case promotion_stage::Reading:
    abandon("the store did not answer the read of the claim in time", Now,
            Actions);
    return;
  case promotion_stage::Claiming:
  case promotion_stage::Announcing:
    readClaim(Now, Actions);
    return;
  case promotion_stage::Fencing:
    DueAt = Now + CallInterval;
    sendFences(Actions);
    // A member that was missing may have been removed.
    if (!Fenced.empty() && Fenced.size() >= neededFences())
      awaitLeases(Now);
    return;
  case promotion_stage::AwaitingLeases: {
    base::time_point SafeAt = leasesExpireAt();
    if (Now < SafeAt) {
      sendFences(Actions);
      DueAt = std::min(SafeAt, Now + std::max(CallInterval, FenceTimeout));
      return;
    }
    beginVerifying(Now, Actions);
    return;
  }
  case promotion_stage::Verifying:
    beginVerifying(Now, Actions);
    return;
  case promotion_stage::Ordering:
    resumeVerifying(Now, Actions);
    return;
  case promotion_stage::Confirming:
    if (Now >= AttemptDeadline) {
      abandon("the promoted instance did not become primary in time", Now,
              Actions);
      return;
    }
    DueAt = Now + CallInterval;
    Actions.push_back(promotion_status{Candidate});
    return;
  }
}

base::json promotion::dump() const {
  static constexpr const char *Names[] = {
      "idle",      "reading",    "claiming", "fencing",   "awaiting_leases",
      "verifying", "announcing", "ordering", "confirming"};
  base::json Result = base::json::object();
  Result["stage"] = Names[static_cast<std::size_t>(Stage)];
  Result["generation"] = Generation;
  Result["open_orders"] = OpenOrders;
  Result["old_primary"] = Request.OldPrimary.str();
  Result["term"] = Request.Term;
  Result["candidate"] = Candidate.str();
  Result["fenced"] = Fenced.size();
  Result["commits_reported"] = Knowledge.AreCommitsReported;
  if (Replicated)
    Result["replicated"] = {Replicated->Term, Replicated->Offset};
  return Result;
}

} // namespace radishrelay::sessions
