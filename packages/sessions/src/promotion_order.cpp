// Choice of the instance to promote, and its order.
#include "promotion_periods.h"
#include "radishrelay/base/store_version.h"
#include "radishrelay/sessions/promotion.h"

#include <algorithm>
#include <tuple>

namespace radishrelay::sessions {

namespace {

using detail::CallInterval;
using detail::JoinPeriod;
using detail::RetryDelay;
using detail::StoreTimeout;

/// Time after an announcement during which the order may be sent: less than
/// HeldUpPeriod by the longest partition and a margin.
constexpr base::duration AnnouncedOrderPeriod = std::chrono::milliseconds(1500);
/// Time after the first order during which it is repeated without an answer.
constexpr base::duration RepeatPeriod = std::chrono::seconds(10);
/// Time for an instance outside the evacuated failure domains to answer as
/// well: two rounds of status calls.
constexpr base::duration BetterCandidatePeriod = 2 * CallInterval;
constexpr base::duration OrderTimeout = std::chrono::milliseconds(600);
/// Time for a promoted instance to report that it is the primary; it takes some
/// 100 ms.
constexpr base::duration ConfirmTimeout = std::chrono::milliseconds(2000);

} // namespace

void promotion::onNewerTerm(const base::instance_id &Instance,
                            const instance_status &Status, base::time_point Now,
                            promotion_actions &Actions) {
  bool IsOrderOpen = OpenOrders > 0;
  if (IsOrderOpen && Instance != Candidate)
    return; // may follow the candidate, whose own answer decides
  if (IsOrderOpen && Status.Role == groups::instance_role::Primary)
    onCandidateAnswer(Status, Now, Actions);
  else
    abandon("another promotion took effect", Now, Actions);
}

void promotion::onCandidateAnswer(const instance_status &Status,
                                  base::time_point Now,
                                  promotion_actions &Actions) {
  bool Leads = Status.Role == groups::instance_role::Primary &&
               Status.Term > Request.Term;
  if (!Leads)
    return;
  for (const promotion_member &Member : Request.Members)
    if (Member.Instance != Candidate)
      Actions.push_back(promotion_unfence{Member.Instance});
  // Marks the claim as done, so that other hosts need not wait until it
  // expires. Not while an earlier order may arrive after theirs.
  AnnouncedTerm = Status.Term;
  std::size_t ArrivedOrders = Stage == promotion_stage::Confirming ? 0 : 1;
  if (OpenOrders <= ArrivedOrders)
    writeClaim(claim_state::Done, Actions);
  NotBefore = Now + RetryDelay;
  enter(promotion_stage::Idle, NotBefore);
}

bool promotion::holdsAllCommits() const {
  if (Replicated && !hasReached(*Replicated))
    return false;
  if (Verified.contains(Request.OldPrimary))
    return true;
  if (!Knowledge.IsListComplete || !areUnlistedExcluded())
    return false;
  // A primary that is no longer a member is lost with all that only it holds.
  if (!isMember(Request.OldPrimary))
    return true;
  return Knowledge.NeededPosition && hasReached(*Knowledge.NeededPosition);
}

bool promotion::hasReached(const groups::log_position &Position) const {
  return std::ranges::any_of(Verified, [&](const auto &Instance) {
    return Fenced.at(Instance).Received >= Position;
  });
}

bool promotion::areUnlistedExcluded() const {
  bool IsListed = Knowledge.ListedAt >= leasesExpireAt() + JoinPeriod;
  bool AreHeld =
      Knowledge.AreCommitsReported &&
      (!Knowledge.Acknowledged || hasReached(*Knowledge.Acknowledged));
  return IsListed || AreHeld;
}

const promotion_member *
promotion::memberOf(const base::instance_id &Instance) const {
  auto Member =
      std::ranges::find(Request.Members, Instance, &promotion_member::Instance);
  return Member == Request.Members.end() ? nullptr : &*Member;
}

bool promotion::doReplicasHoldAllCommits() const {
  bool AreVerified =
      std::ranges::all_of(Request.Members, [this](const auto &Member) {
        return Member.Instance == Request.OldPrimary ||
               Verified.contains(Member.Instance);
      });
  return AreVerified && Knowledge.IsListComplete && areUnlistedExcluded() &&
         Knowledge.NeededPosition &&
         std::ranges::any_of(Verified, [this](const auto &Instance) {
           return Instance != Request.OldPrimary &&
                  Fenced.at(Instance).Received >= *Knowledge.NeededPosition;
         });
}

groups::log_position promotion::sufficientPosition() const {
  // The log of the primary may be longer than those of the replicas by commits
  // that nobody was told of.
  bool CountsPrimary = !doReplicasHoldAllCommits();
  groups::log_position Result;
  for (const base::instance_id &Instance : Verified)
    if (CountsPrimary || Instance != Request.OldPrimary)
      Result = std::max(Result, Fenced.at(Instance).Received);
  return Result;
}

bool promotion::isBetterCandidateAwaited(base::time_point Now) {
  const promotion_member *Chosen = memberOf(Candidate);
  bool MayAnotherAnswer =
      std::ranges::any_of(Request.Members, [this](const auto &Member) {
        return !Member.Evacuated && !Verified.contains(Member.Instance);
      });
  if (!Chosen || !Chosen->Evacuated || !MayAnotherAnswer)
    return false;
  if (!BetterAwaitedUntil)
    BetterAwaitedUntil = Now + BetterCandidatePeriod;
  return Now < *BetterAwaitedUntil;
}

void promotion::chooseCandidate() {
  groups::log_position Sufficient = sufficientPosition();
  bool HasEvacuatedMember = std::ranges::any_of(
      Request.Members, [](const auto &Member) { return Member.Evacuated; });
  auto Rank = [&](const base::instance_id &Instance) {
    const promotion_member *Member = memberOf(Instance);
    groups::log_position Received = Fenced.at(Instance).Received;
    bool IsPreferred = Member && !Member->Evacuated && Received >= Sufficient;
    return std::tuple(IsPreferred || !HasEvacuatedMember, Received,
                      !(Member && Member->Draining),
                      Instance != Request.OldPrimary);
  };
  Candidate = {};
  for (const base::instance_id &Instance : Verified)
    if (Candidate.empty() || Rank(Candidate) < Rank(Instance))
      Candidate = Instance;
}

void promotion::announceOrder(base::time_point Now,
                              promotion_actions &Actions) {
  // An answer may be handled late, before advance() has seen the deadline.
  if (Now >= AttemptDeadline) {
    abandonExpired(Now, Actions);
    return;
  }
  enter(promotion_stage::Announcing, Now + StoreTimeout);
  OrderDeadline = Now + AnnouncedOrderPeriod;
  // The promoted instance leads the term after the newest one, which may be
  // that of an earlier announced order.
  AnnouncedTerm = FenceTerm;
  OpenCall = writeClaim(claim_state::Ordering, Actions);
}

void promotion::onAnnounced(const base::store_answer &Answer,
                            base::time_point Now, promotion_actions &Actions) {
  bool IsHistoryChanged = base::historyOf(Answer.Version) != ReadHistory;
  if (Answer.Outcome == base::store_outcome::Done && IsHistoryChanged) {
    abandon("the store was restored before the order was announced", Now,
            Actions);
  } else if (Answer.Outcome == base::store_outcome::Done) {
    ClaimVersion = Answer.Version;
    order(Now, Actions);
  } else if (Answer.Outcome == base::store_outcome::NotDone) {
    // The fences are verified again before the next announcement.
    Verified.clear();
    enter(promotion_stage::Verifying, Now + CallInterval);
  } else {
    readClaim(Now, Actions);
  }
}

void promotion::order(base::time_point Now, promotion_actions &Actions) {
  if (Now >= std::min(AttemptDeadline, OrderDeadline)) {
    abandonExpired(Now, Actions);
    return;
  }
  if (OpenOrders++ == 0)
    AttemptDeadline = Now + RepeatPeriod;
  enter(promotion_stage::Ordering, Now + OrderTimeout);
  Actions.push_back(
      promotion_order{++LastOrder, Candidate, Generation, OrderDeadline});
}

void promotion::orderAnswered(std::uint64_t Number, order_outcome Outcome,
                              base::time_point Now) {
  if (Number <= EarlierOrders || isIdle())
    return;
  if (Outcome == order_outcome::NotDone)
    --OpenOrders;
  // An order that was accepted late may still take effect, so it stays open.
  if (Stage != promotion_stage::Ordering || Number != LastOrder)
    return;
  if (Outcome == order_outcome::Accepted) {
    --OpenOrders;
    AttemptDeadline = Now + ConfirmTimeout;
    enter(promotion_stage::Confirming, Now);
    return;
  }
  if (OpenOrders == 0)
    AttemptDeadline = ClaimDeadline;
  DueAt = Now + CallInterval;
}

} // namespace radishrelay::sessions
