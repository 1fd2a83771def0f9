#include "radishrelay/sessions/group_leadership.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Minimum time between recorded positions; replication delays are longer than
/// this, so closer positions would not add information.
constexpr base::duration MinPositionInterval = std::chrono::milliseconds(20);
/// Time after which a position is discarded: the largest staleness that routes
/// accept.
constexpr base::duration PositionLifetime = std::chrono::seconds(10);
/// Time after which a claim that announced a later term, or showed an attempt,
/// is read again, since that may have been withdrawn.
constexpr base::duration RefusalPeriod = std::chrono::milliseconds(500);
/// Time after which every promotion that does not know a listed instance has
/// announced its order or has ended: the time for which a claim is respected.
constexpr base::duration RecentMemberPeriod = std::chrono::milliseconds(4500);

} // namespace

void group_leadership::setMembers(std::set<base::instance_id> NewMembers,
                                  base::time_point Now) {
  for (const base::instance_id &Member : NewMembers)
    if (!Members.contains(Member))
      RecentMembers[Member] = Now;
  Members = std::move(NewMembers);
  std::erase_if(RecentMembers, [this](const auto &Entry) {
    return !Members.contains(Entry.first);
  });
  std::erase_if(Statuses, [this](const auto &Entry) {
    return !Members.contains(Entry.first);
  });
}

void group_leadership::recordTerm(groups::term_number LedTerm) {
  HighestTerm = std::max(HighestTerm, LedTerm);
}

void group_leadership::recordCommit(const base::instance_id &Instance,
                                    groups::log_position Position,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  recordStatus(Instance,
               {groups::instance_role::Primary, Position.Term, Position, 0},
               SentAt, Now);
}

bool group_leadership::isLease(const base::instance_id &Instance,
                               groups::term_number OtherTerm) const {
  return HasProof && Primary == Instance && Term == OtherTerm;
}

void group_leadership::prove(const proof &Proof) {
  if (Proof.Term < HighestTerm)
    return;
  Leader = Proof.Instance;
  LeaderTerm = Proof.Term;
  if (Proof.SentAt <= ReleasedAt)
    return;
  if (isLease(Proof.Instance, Proof.Term) && isProved(Proof.ArrivedAt)) {
    ProvedAt = std::max(ProvedAt, Proof.SentAt);
    return;
  }
  if (Proof.Term <= RefusedTerm && Proof.ArrivedAt < RefusedUntil)
    return;
  bool IsExtension = Unconfirmed && Unconfirmed->Primary == Proof.Instance &&
                     Unconfirmed->Term == Proof.Term &&
                     Proof.ArrivedAt <= Unconfirmed->ProvedAt + LeaseDuration;
  if (IsExtension)
    Unconfirmed->ProvedAt = std::max(Unconfirmed->ProvedAt, Proof.SentAt);
  else
    Unconfirmed = {Proof.Instance, Proof.Term, Proof.SentAt, Proof.ArrivedAt};
  confirmByClaim();
}

void group_leadership::confirm(const base::instance_id &Instance,
                               groups::term_number NewTerm,
                               base::time_point NewProvedAt,
                               base::time_point BegunAt) {
  bool IsSameLease = isLease(Instance, NewTerm);
  bool IsContinued = IsSameLease && isProved(BegunAt);
  LeaseBegunAt = IsContinued ? std::min(LeaseBegunAt, BegunAt) : BegunAt;
  ProvedAt = IsSameLease ? std::max(ProvedAt, NewProvedAt) : NewProvedAt;
  Primary = Leader = Instance;
  Term = LeaderTerm = NewTerm;
  HasProof = true;
}

std::optional<base::instance_id> group_leadership::leaderOfHighestTerm() const {
  return LeaderTerm == HighestTerm ? Leader : std::nullopt;
}

std::optional<base::time_point>
group_leadership::claimAwaitedSince(base::time_point Now) const {
  if (!Unconfirmed || Now > Unconfirmed->ProvedAt + LeaseDuration)
    return std::nullopt;
  return Unconfirmed->BegunAt;
}

void group_leadership::recordClaim(const claim_view &Claim,
                                   base::time_point ReadAt,
                                   base::time_point Now) {
  if (ReadAt < ClaimReadAt)
    return;
  AnnouncedTerm = Claim.AnnouncedTerm;
  ClaimReadAt = ReadAt;
  VouchedUntil = Claim.IsAttemptInProgress ? ReadAt : ReadAt + LeaseDuration;
  AreMembersKnown = true;
  if (!Claim.IsAttemptInProgress) {
    AtRestUntil = ReadAt > ReleasedAt ? VouchedUntil : AtRestUntil;
    std::erase_if(RecentMembers,
                  [&](const auto &Entry) { return Entry.second <= ReadAt; });
    proveFromStatuses(Now);
  }
  if (Unconfirmed && AnnouncedTerm > Unconfirmed->Term) {
    RefusedTerm = Unconfirmed->Term;
    RefusedUntil = Now + RefusalPeriod;
    Unconfirmed.reset();
  }
  confirmByClaim();
}

void group_leadership::confirmByClaim() {
  bool IsVouchedFor = Unconfirmed && Unconfirmed->BegunAt <= VouchedUntil &&
                      Unconfirmed->Term >= std::max(AnnouncedTerm, HighestTerm);
  if (!IsVouchedFor)
    return;
  confirm(Unconfirmed->Primary, Unconfirmed->Term, Unconfirmed->ProvedAt,
          Unconfirmed->BegunAt);
  Unconfirmed.reset();
}

bool group_leadership::isReplicated(groups::log_position Position) const {
  return Replicated && Replicated->Term == Position.Term &&
         *Replicated >= Position;
}

bool group_leadership::canBeReported(const base::instance_id &Instance,
                                     groups::term_number CommitTerm,
                                     base::time_point AcknowledgedAt) const {
  bool IsUnderLease = isLease(Instance, CommitTerm) &&
                      AcknowledgedAt >= LeaseBegunAt &&
                      isProved(AcknowledgedAt);
  return IsUnderLease || AcknowledgedAt <= AtRestUntil;
}

void group_leadership::release(base::time_point Now) {
  ReleasedAt = Now;
  AtRestUntil = {};
  HasProof = false;
  Unconfirmed.reset();
}

void group_leadership::recordLeader(const base::instance_id &Instance,
                                    groups::term_number NewTerm) {
  recordTerm(NewTerm);
  bool IsNews = !Leader || LeaderTerm < NewTerm;
  if (!IsNews)
    return;
  Leader = Instance;
  LeaderTerm = NewTerm;
}

std::optional<bool>
group_leadership::ledAt(base::time_point AcknowledgedAt,
                        const base::instance_id &Instance,
                        groups::term_number CommitTerm) const {
  if (isLease(Instance, CommitTerm) && isProved(AcknowledgedAt))
    return true;
  if (CommitTerm < HighestTerm)
    return false;
  if (AcknowledgedAt > VouchedUntil)
    return std::nullopt;
  return AnnouncedTerm <= CommitTerm;
}

void group_leadership::recordMemberRemoved(base::time_point Now) {
  if (!isProved(Now))
    AreMembersKnown = false;
}

void group_leadership::confirmByMembers(base::time_point Now) {
  if (!Unconfirmed || !AreMembersKnown || Unconfirmed->Term < AnnouncedTerm ||
      Unconfirmed->Term < HighestTerm)
    return;
  base::time_point Since = Unconfirmed->ProvedAt;
  for (const base::instance_id &Member : Members) {
    auto Dated = Statuses.find(Member);
    bool IsUnfenced = Dated != Statuses.end() &&
                      Dated->second.Status.Term <= Unconfirmed->Term &&
                      Dated->second.Status.FencedTerm <= Unconfirmed->Term;
    if (!IsUnfenced)
      return;
    Since = std::min(Since, Dated->second.SentAt);
  }
  if (Now > Since + LeaseDuration || Since <= ReleasedAt)
    return;
  confirm(Unconfirmed->Primary, Unconfirmed->Term, Since, Since);
  Unconfirmed.reset();
}

void group_leadership::recordProof(const base::instance_id &Instance,
                                   groups::term_number NewTerm,
                                   base::time_point NewProvedAt) {
  recordTerm(NewTerm);
  if (!Members.contains(Instance) || NewTerm < HighestTerm ||
      NewProvedAt <= ReleasedAt)
    return;
  confirm(Instance, NewTerm, NewProvedAt, NewProvedAt);
  bool IsContinued = Unconfirmed &&
                     isLease(Unconfirmed->Primary, Unconfirmed->Term) &&
                     isProved(Unconfirmed->BegunAt);
  if (IsContinued) {
    ProvedAt = std::max(ProvedAt, Unconfirmed->ProvedAt);
    Unconfirmed.reset();
  }
}

std::optional<group_leadership::dated_position>
group_leadership::newestPosition() const {
  if (Positions.empty() || Positions.back().Position.Term != Term)
    return std::nullopt;
  return Positions.back();
}

bool group_leadership::isProved(base::time_point Now) const {
  return HasProof && Primary && Now <= ProvedAt + LeaseDuration;
}

base::time_point
group_leadership::provedUntil(const base::instance_id &Instance) const {
  return HasProof && Primary == Instance ? ProvedAt + LeaseDuration
                                         : base::time_point();
}

base::time_point group_leadership::latestProofAt() const {
  return Unconfirmed ? std::max(ProvedAt, Unconfirmed->ProvedAt) : ProvedAt;
}

void group_leadership::recordPosition(const base::instance_id &Instance,
                                      groups::log_position Position,
                                      base::time_point SentAt) {
  recordTerm(Position.Term);
  if (Primary != Instance || Position.Term != Term || !isProved(SentAt))
    return;
  while (!Positions.empty() &&
         Positions.front().SentAt < SentAt - PositionLifetime)
    Positions.pop_front();
  if (Positions.empty() ||
      SentAt >= Positions.back().SentAt + MinPositionInterval)
    Positions.push_back({SentAt, Position});
}

void group_leadership::recordStatus(const base::instance_id &Instance,
                                    const instance_status &Status,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  recordTerm(std::max(Status.Term, Status.Received.Term));
  if (!Members.contains(Instance))
    return;
  auto Known = Statuses.find(Instance);
  if (Known != Statuses.end() && SentAt < Known->second.SentAt)
    return;
  Statuses[Instance] = {Status, SentAt, Now};
  proveFromStatuses(Now);
  recordReplicas(Now);
  if (Status.Role == groups::instance_role::Primary)
    recordPosition(Instance, Status.Received, SentAt);
  else if (Primary == Instance && Status.Term >= Term)
    recordNotPrimary(Instance);
}

void group_leadership::recordReplicas(base::time_point Now) {
  if (!Leader || LeaderTerm < HighestTerm)
    return;
  // The log of a leader, also of one that was demoted, may end with commits
  // that no replica has received.
  for (const auto &[Instance, Dated] : Statuses)
    if (Instance != Leader && Dated.Status.Term == LeaderTerm &&
        Dated.Status.Role == groups::instance_role::Replica &&
        isKnownToPromotions(Instance, Now))
      recordReplicated(Dated.Status.Received);
}

std::optional<group_leadership::proof>
group_leadership::confirmedBy(const base::instance_id &Candidate,
                              const dated_status &Dated,
                              base::time_point Now) const {
  proof All{Candidate, Dated.Status.Term, Dated.SentAt, Dated.ArrivedAt};
  std::size_t Confirming = 0;
  std::optional<proof> Latest;
  for (const auto &[Other, OtherDated] : Statuses) {
    const instance_status &Status = OtherDated.Status;
    bool Confirms = Other != Candidate &&
                    Status.FencedTerm <= Dated.Status.Term &&
                    Status.Term <= Dated.Status.Term;
    if (!Confirms)
      continue;
    ++Confirming;
    All.SentAt = std::min(All.SentAt, OtherDated.SentAt);
    All.ArrivedAt = std::max(All.ArrivedAt, OtherDated.ArrivedAt);
    proof Both{Candidate, Dated.Status.Term,
               std::min(Dated.SentAt, OtherDated.SentAt),
               std::max(Dated.ArrivedAt, OtherDated.ArrivedAt)};
    if (isKnownToPromotions(Other, Now) &&
        (!Latest || Both.SentAt > Latest->SentAt))
      Latest = Both;
  }
  // A promotion that does not know some of the members has fenced all others.
  bool HaveAllConfirmed = Confirming + 1 >= Members.size();
  return !Latest && HaveAllConfirmed ? std::optional(All) : Latest;
}

std::optional<base::time_point>
group_leadership::recentMemberClaimNeededAt(base::time_point Now) const {
  std::optional<base::time_point> LastJoinedAt;
  for (const auto &[Instance, JoinedAt] : RecentMembers)
    if (!isKnownToPromotions(Instance, Now))
      LastJoinedAt = std::max(LastJoinedAt.value_or(JoinedAt), JoinedAt);
  if (!LastJoinedAt || ClaimReadAt < *LastJoinedAt)
    return LastJoinedAt;
  // The last read has shown an attempt, which may have ended since.
  bool IsDue = Now >= ClaimReadAt + RefusalPeriod;
  return IsDue ? std::optional(ClaimReadAt + RefusalPeriod) : std::nullopt;
}

bool group_leadership::isKnownToPromotions(const base::instance_id &Instance,
                                           base::time_point Now) const {
  auto Entry = RecentMembers.find(Instance);
  return Entry == RecentMembers.end() ||
         Now >= Entry->second + RecentMemberPeriod;
}

void group_leadership::proveFromStatuses(base::time_point Now) {
  for (const auto &[Instance, Dated] : Statuses) {
    if (Dated.Status.Role != groups::instance_role::Primary ||
        Dated.Status.FencedTerm > Dated.Status.Term)
      continue;
    if (std::optional<proof> Proof = confirmedBy(Instance, Dated, Now))
      prove(*Proof);
  }
}

void group_leadership::recordNotPrimary(const base::instance_id &Instance) {
  if (Primary == Instance)
    HasProof = false;
  if (Unconfirmed && Unconfirmed->Primary == Instance)
    Unconfirmed.reset();
  Statuses.erase(Instance);
}

std::optional<groups::log_position>
group_leadership::positionSince(base::time_point Time) const {
  auto Found =
      std::ranges::lower_bound(Positions, Time, {}, &dated_position::SentAt);
  if (Found == Positions.end())
    return std::nullopt;
  return Found->Position;
}

base::json group_leadership::dump() const {
  base::json Result = base::json::object();
  Result["primary"] = Primary ? Primary->str() : "";
  Result["term"] = Term;
  Result["highest_term"] = HighestTerm;
  Result["proved_at_us"] = HasProof ? base::toMicroseconds(ProvedAt) : 0;
  Result["awaits_claim"] = Unconfirmed.has_value();
  Result["evidence"] = Positions.size();
  Result["members"] = Members.size();
  return Result;
}

} // namespace radishrelay::sessions
