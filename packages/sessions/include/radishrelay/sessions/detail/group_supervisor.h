#ifndef RADISHRELAY_SESSIONS_DETAIL_GROUP_SUPERVISOR_H
#define RADISHRELAY_SESSIONS_DETAIL_GROUP_SUPERVISOR_H

#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/detail/backend_pool.h"
#include "radishrelay/sessions/detail/claim_watch.h"
#include "radishrelay/sessions/detail/commit_survey.h"
#include "radishrelay/sessions/detail/domain_contact.h"
#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/promotion_votes.h"
#include "radishrelay/sessions/detail/store_calls.h"
#include "radishrelay/sessions/detail/store_history.h"
#include "radishrelay/sessions/event_log.h"
#include "radishrelay/sessions/group_leadership.h"
#include "radishrelay/sessions/promotion.h"

#include <optional>
#include <set>
#include <utility>

namespace radishrelay::sessions::detail {

/// Supervises one database group on behalf of this host: keeps a proof of the
/// primary while sessions need one, and starts a promotion when the primary is
/// lost or leaving.
///
/// A proof is evidence that an instance is the primary; it is valid for the
/// lease duration (see group_leadership). Probers obtain it by a probe, which
/// is a round of status calls to the instances. Other hosts request it from a
/// prober of their failure domain.
class group_supervisor {
public:
  group_supervisor(base::group_id Group, const engine_options &Options,
                   backend_pool &Pool, store_calls &Store,
                   const store_history &History, fleet_members &Members,
                   claim_watch &Claims, domain_contact &Contact, event_log &Log,
                   base::time_point StartedAt);

  /// Updates the members of the group from the instances of all groups that the
  /// platform lists.
  void setListings(const std::map<base::instance_id, instance_listing> &List,
                   base::time_point Now);
  /// Records that the list of instances was still current at \p Time, and
  /// whether it is known to contain all live instances.
  void recordListConfirmed(base::time_point Time, bool IsComplete) {
    ListConfirmedAt = Time;
    IsListComplete = IsComplete;
  }
  /// Sets the evacuated failure domains, and those of them whose instances get
  /// no statement at all.
  void setEvacuated(std::set<base::failure_domain_id> Evacuated,
                    std::set<base::failure_domain_id> Closed,
                    base::time_point Now);
  /// Whether an instance outside the evacuated failure domains may become the
  /// primary.
  [[nodiscard]] bool hasSuccessor() const;
  void setSettings(const group_settings &Settings);
  void setRoles(const group_roles &NewRoles) { Roles = NewRoles; }
  /// Account to which connections opened for status, fence and demote calls are
  /// charged.
  void setCallAccount(const base::account_id &Account) {
    CallAccount = Account;
  }

  [[nodiscard]] group_leadership &leadership() { return Leadership; }
  [[nodiscard]] const group_leadership &leadership() const {
    return Leadership;
  }
  /// Returns true once after a promotion has started: the promotion needs the
  /// newest list of instances, so the caller reads it.
  bool takeListRequest() { return std::exchange(IsListRequested, false); }
  /// The primary, if it is proved at \p Now and responds.
  [[nodiscard]] std::optional<base::instance_id>
  usablePrimary(base::time_point Now) const;
  /// The latest primary even if its lease has run out. A write may be sent to
  /// it, since the client is told of its commit under a confirmed lease alone.
  [[nodiscard]] std::optional<base::instance_id> primaryForWrites() const;
  /// Whether the client may be told of the commit at \p Position, which
  /// \p Instance acknowledged at \p AcknowledgedAt: the instance was the
  /// primary then, and a promotion that follows keeps the commit. Empty if this
  /// is not known yet.
  [[nodiscard]] std::optional<bool>
  isCommitProved(const base::instance_id &Instance,
                 std::optional<groups::log_position> Position,
                 base::time_point AcknowledgedAt) const;
  /// Records that a client is told of the commit at \p Position.
  void recordAcknowledged(groups::log_position Position) {
    LastAcknowledged = std::max(LastAcknowledged.value_or(Position), Position);
  }
  /// Called while a commit waits for isCommitProved().
  void requestCommitProof(base::time_point AcknowledgedAt,
                          base::time_point Now);
  /// From now on this host starts no promotion; one that is in progress goes
  /// on.
  void stopPromoting() { MayPromote = false; }
  [[nodiscard]] bool isPromoting() const { return !Promotion.isIdle(); }
  /// Whether the platform has been asked to promote an instance, so that a new
  /// primary is expected within PromotionTimeout.
  [[nodiscard]] bool isPromotionOrdered() const;
  /// Whether the primary has failed at least two probes and has answered
  /// neither probes nor statements since the first failure.
  [[nodiscard]] bool isPrimaryLost() const {
    return FailedProbes >= 2 && PrimaryAnsweredAt < FirstFailureAt;
  }

  /// Called when a session needs a proved primary.
  void requestProof(base::time_point Now);
  /// Records a failed call to \p Instance; if it is the primary, a new proof is
  /// requested.
  void recordFailure(const base::instance_id &Instance, base::time_point Now);
  /// Records that \p Instance answered a probe or a statement.
  void recordAnswer(const base::instance_id &Instance, base::time_point Now) {
    if (isTakenForPrimary(Instance))
      PrimaryAnsweredAt = Now;
  }
  /// Records a write on \p Instance that had no answer in time.
  void recordWriteTimeout(const base::instance_id &Instance);
  /// Records a commit sent at \p SentAt and acknowledged by \p Instance.
  void recordCommit(const base::instance_id &Instance,
                    groups::log_position Position, base::time_point SentAt,
                    base::time_point Now);
  /// Handles the answer of \p Instance to a status, fence or demote call sent
  /// at \p SentAt. Returns true if the primary is proved by answers since the
  /// last probe started.
  bool callAnswered(const base::instance_id &Instance,
                    const instance_status &Status, base::time_point SentAt,
                    base::time_point Now);
  /// Returns the proof of this host as a reply to \p Request from another host
  /// of its failure domain; empty if there is none that lasts long enough.
  [[nodiscard]] std::optional<proof_reply>
  proofReply(const proof_request &Request, base::time_point Now) const;
  /// Replies now, or once the primary is proved.
  void receive(const proof_request &Request, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const promotion_vote &Vote, base::time_point Now) {
    Votes.receive(Vote, Now);
  }
  /// Reports the commits that clients were told of, and gives up the lease.
  void receive(const commit_inquiry &Inquiry, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const commit_report &Report, base::time_point Now) {
    Survey.receive(Report, Now);
  }
  /// Handles a read of the group's claim that was sent at \p ReadAt.
  void claimRead(const group_claim &Claim, base::time_point ReadAt,
                 base::time_point Now);
  /// Adopts the proof of another host. Returns true if the primary is proved
  /// afterwards.
  bool receive(const proof_reply &Reply, base::time_point Now);
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake(base::time_point Now) const;
  [[nodiscard]] base::json dump() const;

private:
  /// A prober renews its proof this long before it expires and hands it out
  /// only until then: time for the first prober's status call on a busy
  /// instance, and for one more if the first prober is down.
  static constexpr base::duration RenewalLeadTime =
      std::chrono::milliseconds(200);

  struct member_state {
    instance_listing Listing;
    bool IsListed = true;
    base::time_point UnlistedAt;
    /// When the instance was first listed as draining.
    base::time_point LeavingSince;
    base::time_point FirstListedAt;
  };

  /// Whether the instance that replaces a leaving one may have started without
  /// being listed, because its failure domain has been cut off since.
  [[nodiscard]] bool isSuccessorAwaited(base::time_point Now) const;

  /// Whether a replica that is no longer listed has terminated after it had
  /// announced that it leaves. Its log is lost with it, so a promotion does not
  /// need to fence it. Never true for the primary, since an acknowledged commit
  /// may be on either replica.
  [[nodiscard]] bool hasLeft(const base::instance_id &Instance,
                             const member_state &Member) const;

  /// Whether \p Instance leads the highest known term or, as long as no leader
  /// is known, is listed as the primary.
  [[nodiscard]] bool isTakenForPrimary(const base::instance_id &Instance) const;

  /// Whether \p Instance is in the failure domain of this host.
  [[nodiscard]] bool isInOwnDomain(const base::instance_id &Instance) const;
  /// Whether hosts outside the failure domain of \p Primary can ask this host
  /// for commits, or could since \p Time.
  [[nodiscard]] bool hasContact(const base::instance_id &Primary,
                                base::time_point Time) const;
  /// Whether a commit has waited for isCommitProved() just now.
  [[nodiscard]] bool isCommitWaiting(base::time_point Now) const;
  /// Renews the proof before it expires: asks other hosts first, then probes.
  void seekProof(base::time_point Now);
  void requestProofFromProbers(base::time_point Now);
  void answerOpenRequests(base::time_point Now);
  [[nodiscard]] base::duration demandLifetime() const;
  /// Instances to which a probe sends status calls.
  [[nodiscard]] std::vector<base::instance_id>
  probeTargets(base::time_point Now) const;
  [[nodiscard]] bool isReachable(const base::instance_id &Instance,
                                 base::time_point Now) const;
  void startProbe(base::time_point Now);
  /// Whether a probe has failed and the primary has not answered since.
  [[nodiscard]] bool isPrimaryUnresponsive() const {
    return FailedProbes > 0 && PrimaryAnsweredAt < FirstFailureAt;
  }
  /// Whether a probe or a call to the primary failed after its latest proof.
  [[nodiscard]] bool isPrimarySuspected() const {
    return FailedProbes > 0 || FirstFailureAt > Leadership.provedAt();
  }
  void startProbeIfDue(base::time_point Now);
  void endProbe(base::time_point Now);
  /// For which time a read of the claim has to vouch; empty if none is needed.
  [[nodiscard]] std::optional<base::time_point>
  claimNeededFor(base::time_point Now) const;
  void requestClaimIfNeeded(base::time_point Now);
  /// Whether the primary is proved by answers since the last probe started.
  [[nodiscard]] bool isProvedAnew(base::time_point Now) const;
  /// Records that the latest probe has proved the primary.
  void recordProbeAnswered();
  void recordPrimaryProved(base::time_point Now);
  [[nodiscard]] bool isProbeNeeded(base::time_point Now) const;
  /// Whether the primary has been unresponsive, or has lost writes, long enough
  /// for this host to vote for a promotion.
  [[nodiscard]] bool isVoteDue(base::time_point Now) const;
  /// Whether the primary is to be replaced although it answers: it leaves, or
  /// its failure domain is evacuated.
  [[nodiscard]] bool isPrimaryLeaving() const;
  [[nodiscard]] bool isEvacuated(const member_state &Member) const {
    return EvacuatedDomains.contains(Member.Listing.Domain);
  }
  /// Whether nobody can use the primary, nor replace it: its failure domain is
  /// closed, and no instance outside may take over.
  [[nodiscard]] bool isPrimaryShutOff() const;
  [[nodiscard]] promotion_member
  asPromotionMember(const base::instance_id &Instance,
                    const member_state &Member) const;
  /// Passes the listed members to a promotion in progress.
  void updatePromotionMembers(base::time_point Now);
  void considerPromotion(base::time_point Now);
  void castVote(base::time_point Now);
  /// Whether enough instances are reachable to fence all but one.
  [[nodiscard]] bool canFence(base::time_point Now) const;
  /// Whether the replicas are known to hold every acknowledged commit, so that
  /// the primary can be replaced although it does not answer.
  [[nodiscard]] bool canReplaceWithoutPrimary(base::time_point Now) const;
  [[nodiscard]] replica_knowledge replicaKnowledge(base::time_point Now) const;
  /// Whether a recent status of the primary shows it as primary in the highest
  /// known term.
  [[nodiscard]] bool doesPrimaryLead(base::time_point Now) const;
  void startPromotion(base::time_point Now, std::string_view Reason);
  /// Asks the other hosts about their commits while the promotion needs that.
  void advanceSurvey(base::time_point Now);
  void executeActions(const promotion_actions &Actions, base::time_point Now);
  void updateMembers(base::time_point Now);

  base::group_id Group;
  engine_options Options;
  backend_pool &Pool;
  store_calls &Store;
  const store_history &History;
  fleet_members &Fleet;
  claim_watch &Claims;
  domain_contact &Contact;
  event_log &Log;
  group_settings Settings;
  group_roles Roles;
  base::account_id CallAccount;

  group_leadership Leadership;
  promotion Promotion;
  promotion_votes Votes;
  commit_survey Survey;
  base::time_point StartedAt;
  /// Position of the last commit that a client was told of.
  std::optional<groups::log_position> LastAcknowledged;
  std::map<base::instance_id, member_state> Members;
  /// Failure domains of the listed instances of all groups.
  std::set<base::failure_domain_id> ListedDomains;
  std::set<base::failure_domain_id> EvacuatedDomains;
  std::set<base::failure_domain_id> ClosedDomains;
  base::time_point ListConfirmedAt;
  bool IsListComplete = false;
  /// When a replica was last known to have left or restarted, or the present
  /// primary was first proved. Commits acknowledged before may have no copy on
  /// the present replicas.
  base::time_point ReplicasChangedAt;
  bool IsListRequested = false;
  bool MayPromote = true;

  /// Last time at which a session or another host needed a proof.
  base::time_point ProofRequestedAt;
  /// Time until which replies of other hosts are awaited before a probe starts.
  std::optional<base::time_point> ReplyDeadline;
  base::time_point NextProofRequestAt;
  std::size_t ProberIndex = 0;
  /// Proof requests of other hosts that wait for the next proof.
  struct open_request {
    proof_request Request;
    std::string ReplyTo;
    base::time_point ReceivedAt;
  };
  std::vector<open_request> OpenRequests;
  bool IsProbing = false;
  base::time_point ProbeStartedAt;
  base::time_point NextProbeAt;
  /// When the commit was acknowledged that has last waited for a proof.
  base::time_point UnprovedCommitAt;
  base::time_point CommitProofRequestedAt;
  /// Whether a read of the claim was seen in the run of this host.
  bool HasReadClaim = false;
  /// Whether the last probe says something about the primary: it was sent a
  /// status call, owes the answer to another request, or is no longer listed.
  bool IsPrimaryAsked = false;
  /// When the first probe after the last answer of the primary asked it. Its
  /// silence before then is no sign of a failure.
  base::time_point PrimaryAskedAt;
  std::uint32_t FailedProbes = 0;
  base::time_point FirstFailureAt;
  base::time_point PrimaryAnsweredAt;
  /// Since when the primary has answered as a replica of its own term, which it
  /// does after a demotion without a promotion.
  std::optional<base::time_point> DemotedSince;
  std::uint32_t WriteTimeouts = 0;
  /// Since when a replacement is due: the primary was first seen leaving, or
  /// the votes reached a quorum.
  std::optional<base::time_point> ReplaceDueSince;
  base::time_point NextVoteAt;
  bool HasVoted = false;
  std::optional<base::instance_id> LoggedPrimary;
  groups::term_number LoggedTerm = 0;
};

} // namespace radishrelay::sessions::detail

#endif
