// Proofs of the primary and reads of the claim of group_supervisor.
#include "radishrelay/sessions/detail/group_supervisor.h"

#include <algorithm>
#include <limits>

namespace radishrelay::sessions::detail {

namespace {

/// Time for which a prober keeps its proof renewed after the last request for
/// one, so that a lost primary is replaced before the next session needs it.
constexpr base::duration DemandLifetime = std::chrono::seconds(3);
/// DemandLifetime during an outage of the store, in which a lease that has run
/// out is confirmed only if all instances answer.
constexpr base::duration OutageDemandLifetime = std::chrono::seconds(60);
/// A proof that is due for renewal sooner than this is not handed out, since
/// its receiver would have to ask again at once.
constexpr base::duration MinReplyLifetime = std::chrono::milliseconds(20);
/// Time before its proof expires at which a host that is not a prober asks for
/// a new one: the time that a statement takes to reach the instance.
constexpr base::duration PassiveRenewalLeadTime = std::chrono::milliseconds(30);
/// DemandLifetime of a host that is not a prober. It is shorter because an
/// operation that waits for a proof requests it repeatedly.
constexpr base::duration PassiveDemandLifetime = std::chrono::milliseconds(60);
/// Time to wait for a reply to a proof request before probing. The first prober
/// replies once its status call has passed the queue of a busy instance; a call
/// from every prober instead would make that queue longer.
constexpr base::duration ProofReplyTimeout = std::chrono::milliseconds(120);
/// Time between two proof requests of a prober. Longer than ProofReplyTimeout,
/// so that a probe follows an unanswered request.
constexpr base::duration ProofRequestInterval = std::chrono::milliseconds(250);
/// Time between two proof requests of a host that is not a prober. It is short
/// because operations wait for the proof: twice the time of a probe over a new
/// connection.
constexpr base::duration PassiveProofRequestInterval =
    std::chrono::milliseconds(30);
/// Probers asked per request: the first prober, so that most hosts share its
/// proofs, and another one in case the first is down.
constexpr std::size_t ProbersPerRequest = 2;
/// Time after which a pending proof request is dropped: the duration of one
/// probe.
constexpr base::duration OpenRequestLifetime = std::chrono::milliseconds(200);
/// Time after the last request for its proof for which a commit counts as
/// waiting. Longer than CommitProofInterval, at which it is requested.
constexpr base::duration CommitProofLifetime = std::chrono::milliseconds(60);
/// More than the number of hosts of one failure domain.
constexpr std::size_t MaxOpenRequests = 256;

} // namespace

std::optional<bool>
group_supervisor::isCommitProved(const base::instance_id &Instance,
                                 std::optional<groups::log_position> Position,
                                 base::time_point AcknowledgedAt) const {
  groups::log_position Known = Position.value_or(groups::log_position{
      Leadership.term(), std::numeric_limits<groups::log_offset>::max()});
  std::optional<bool> HasLed =
      Leadership.ledAt(AcknowledgedAt, Instance, Known.Term);
  // Without synchronous replicas, no promotion is bound to keep a commit.
  bool IsDecided =
      HasLed != true || Settings.SyncReplicas == 0 ||
      Leadership.isReplicated(Known) ||
      (hasContact(Instance, AcknowledgedAt) &&
       Leadership.canBeReported(Instance, Known.Term, AcknowledgedAt));
  return IsDecided ? HasLed : std::nullopt;
}

bool group_supervisor::hasContact(const base::instance_id &Primary,
                                  base::time_point Time) const {
  return !isInOwnDomain(Primary) || Contact.isReachedSince(Time);
}

void group_supervisor::requestCommitProof(base::time_point AcknowledgedAt,
                                          base::time_point Now) {
  UnprovedCommitAt = AcknowledgedAt;
  CommitProofRequestedAt = Now;
  if (Leadership.leader() && isInOwnDomain(*Leadership.leader()))
    Contact.request(AcknowledgedAt, Now);
  requestProof(Now);
}

void group_supervisor::requestProof(base::time_point Now) {
  ProofRequestedAt = Now;
  seekProof(Now);
}

base::duration group_supervisor::demandLifetime() const {
  if (!Roles.IsProber)
    return PassiveDemandLifetime;
  return IsListComplete ? DemandLifetime : OutageDemandLifetime;
}

void group_supervisor::seekProof(base::time_point Now) {
  if (Now >= ProofRequestedAt + demandLifetime())
    return;
  bool IsProvedPastLeadTime = Leadership.isProved(
      Now + (Roles.IsProber ? RenewalLeadTime : PassiveRenewalLeadTime));
  bool IsReplyUseful = Roles.IsProber ? !Roles.IsFirstProber && !IsProbing &&
                                            !isPrimarySuspected()
                                      : true;
  if (IsReplyUseful && !IsProvedPastLeadTime && Now >= NextProofRequestAt)
    requestProofFromProbers(Now);
  bool AreRepliesAwaited = ReplyDeadline && Now < *ReplyDeadline &&
                           (Roles.IsProber || !isPrimaryUnresponsive());
  if (!IsProbing && !AreRepliesAwaited && Now >= NextProbeAt &&
      isProbeNeeded(Now))
    startProbe(Now);
}

void group_supervisor::requestProofFromProbers(base::time_point Now) {
  bool IsUrgent = !Roles.IsProber && !isPrimaryUnresponsive();
  NextProofRequestAt =
      Now + (IsUrgent ? PassiveProofRequestInterval : ProofRequestInterval);
  const std::vector<std::string> &Probers = Roles.Probers;
  if (Probers.empty())
    return;
  ReplyDeadline = Now + ProofReplyTimeout;
  Fleet.send(proof_request{Group, Now}, Probers.front());
  for (std::size_t Count = 1;
       Count < std::min(ProbersPerRequest, Probers.size()); ++Count)
    Fleet.send(proof_request{Group, Now},
               Probers[1 + ++ProberIndex % (Probers.size() - 1)]);
}

void group_supervisor::receive(const proof_request &Request,
                               const std::string &ReplyTo,
                               base::time_point Now) {
  if (std::optional<proof_reply> Reply = proofReply(Request, Now)) {
    Fleet.send(*Reply, ReplyTo);
    return;
  }
  if (!Roles.IsProber)
    return;
  if (OpenRequests.size() < MaxOpenRequests)
    OpenRequests.push_back({Request, ReplyTo, Now});
  requestProof(Now);
}

void group_supervisor::answerOpenRequests(base::time_point Now) {
  std::erase_if(OpenRequests, [&](const open_request &Open) {
    std::optional<proof_reply> Reply = proofReply(Open.Request, Now);
    if (Reply)
      Fleet.send(*Reply, Open.ReplyTo);
    return Reply || Now >= Open.ReceivedAt + OpenRequestLifetime;
  });
}

std::optional<proof_reply>
group_supervisor::proofReply(const proof_request &Request,
                             base::time_point Now) const {
  bool IsUsable = !isPrimarySuspected() &&
                  Leadership.isProved(Now + RenewalLeadTime + MinReplyLifetime);
  if (!IsUsable)
    return std::nullopt;
  proof_reply Reply;
  Reply.Group = Group;
  Reply.AskedAt = Request.SentAt;
  Reply.Primary = *Leadership.primary();
  Reply.Term = Leadership.term();
  Reply.Age = Now - Leadership.provedAt();
  if (auto Newest = Leadership.newestPosition()) {
    Reply.Position = Newest->Position;
    Reply.PositionAge = Now - Newest->SentAt;
  }
  Reply.Replicated = Leadership.replicatedPosition();
  return Reply;
}

bool group_supervisor::receive(const proof_reply &Reply, base::time_point Now) {
  base::time_point ProvedAt = Reply.AskedAt - Reply.Age;
  bool IsNewer = ProvedAt > Leadership.provedAt();
  // A prober that suspects the primary trusts only its own probe. Other hosts
  // accept a proof that is newer than the failure that they observed, and a
  // proof of a later primary, which their probes do not reach.
  bool IsSuspected = Roles.IsProber ? isPrimarySuspected()
                                    : (isPrimaryUnresponsive() ||
                                       ProvedAt <= FirstFailureAt) &&
                                          Reply.Term <= Leadership.term();
  if (IsSuspected || Reply.Age < base::duration::zero() || Reply.AskedAt > Now)
    return false;
  Leadership.recordProof(Reply.Primary, Reply.Term, ProvedAt);
  if (Reply.Replicated)
    Leadership.recordReplicated(*Reply.Replicated);
  if (Reply.Position)
    Leadership.recordPosition(Reply.Primary, *Reply.Position,
                              Reply.AskedAt - Reply.PositionAge);
  if (!Leadership.isProved(Now))
    return false;
  if (IsNewer)
    recordPrimaryProved(Now);
  if (Leadership.isProved(Now + RenewalLeadTime)) {
    // The proof may already be due for renewal soon; allow the next request at
    // once.
    ReplyDeadline.reset();
    NextProofRequestAt = Now;
  }
  return true;
}

bool group_supervisor::isCommitWaiting(base::time_point Now) const {
  return Now < CommitProofRequestedAt + CommitProofLifetime;
}

std::optional<base::time_point>
group_supervisor::claimNeededFor(base::time_point Now) const {
  bool IsCommitUnproved = isCommitWaiting(Now) &&
                          !Leadership.isProved(UnprovedCommitAt) &&
                          UnprovedCommitAt > Leadership.atRestUntil();
  if (IsCommitUnproved)
    return UnprovedCommitAt;
  std::optional<base::time_point> AwaitedSince =
      Leadership.claimAwaitedSince(Now);
  if (AwaitedSince && Now < ProofRequestedAt + demandLifetime())
    return AwaitedSince;
  std::optional<base::time_point> RecentMemberTime =
      Leadership.recentMemberClaimNeededAt(Now);
  if (RecentMemberTime && !Leadership.isProved(Now + RenewalLeadTime) &&
      Now < ProofRequestedAt + demandLifetime())
    return RecentMemberTime;
  // The first prober needs to know what was announced before the store goes
  // away. Hosts that start together take themselves for it until they are
  // listed.
  if (Roles.IsFirstProber && !HasReadClaim && Fleet.isListed())
    return Now;
  return std::nullopt;
}

void group_supervisor::requestClaimIfNeeded(base::time_point Now) {
  if (std::optional<base::time_point> Time = claimNeededFor(Now))
    Claims.request(Leadership.claimNeededAt(*Time), Now);
}

void group_supervisor::claimRead(const group_claim &Claim,
                                 base::time_point ReadAt,
                                 base::time_point Now) {
  HasReadClaim = true;
  Leadership.recordTerm(Claim.LedTerm);
  if (!Claim.View.Leader.empty())
    Leadership.recordLeader(Claim.View.Leader, Claim.View.LeaderTerm);
  if (Claim.View.Replicated)
    Leadership.recordReplicated(*Claim.View.Replicated);
  Leadership.recordClaim(Claim.View, ReadAt, Now);
  if (isProvedAnew(Now))
    recordPrimaryProved(Now);
}

} // namespace radishrelay::sessions::detail
