#ifndef RADISHRELAY_SESSIONS_GROUP_LEADERSHIP_H
#define RADISHRELAY_SESSIONS_GROUP_LEADERSHIP_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/claim_view.h"
#include "radishrelay/sessions/instance_status.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace radishrelay::sessions {

/// Tracks what this host can prove about the primary of one database group.
///
/// A promotion first fences all instances but one, then waits for the lease
/// duration. If, after some time point, the primary and one other instance that
/// every promotion has to fence were both unfenced, no promotion takes effect
/// between that time point and the end of the lease that it begins. Each
/// further such proof extends the lease if it arrives before the lease has run
/// out. An acknowledged commit shows that the primary leads, but not which
/// replica has confirmed it: one that is not listed yet is fenced by nobody.
///
/// A replica that has just been listed may be unknown to a promotion that is in
/// progress. For RecentMemberPeriod, or until the claim shows no attempt, it
/// proves the primary only together with all other members.
///
/// A host that promotes asks the others which commits they have acknowledged.
/// With its answer, a host gives up its lease (see release()), so that it
/// acknowledges no more of them until the primary is proved anew.
///
/// A proof says nothing about earlier promotions: after one has taken effect,
/// its fences are removed, and a replica that has not heard of it still follows
/// the old primary. A lease therefore counts only once it is confirmed: a read
/// of the claim of the group that announces no later term vouches for the time
/// at which the first proof of the lease arrived. A promotion announces its
/// term in the claim before it takes effect, so a read vouches for all time
/// before it was sent. If the claim shows no attempt in progress, it vouches
/// for the lease duration after that as well, since an attempt claims, fences
/// and waits for so long before it announces a term. While the store does not
/// answer, the statuses of all members confirm a lease, since a promoted
/// instance is among them.
class group_leadership {
public:
  explicit group_leadership(base::duration LeaseDuration)
      : LeaseDuration(LeaseDuration) {}

  /// Sets the instances that may belong to the group.
  void setMembers(std::set<base::instance_id> NewMembers, base::time_point Now);

  /// Records that \p Instance acknowledged a commit sent at \p SentAt, so that
  /// it was the primary then.
  void recordCommit(const base::instance_id &Instance,
                    groups::log_position Position, base::time_point SentAt,
                    base::time_point Now);
  /// Records the end of the log of \p Instance, as reported in an answer to a
  /// request sent at \p SentAt.
  void recordPosition(const base::instance_id &Instance,
                      groups::log_position Position, base::time_point SentAt);
  /// Records the answer of \p Instance to a status call sent at \p SentAt.
  void recordStatus(const base::instance_id &Instance,
                    const instance_status &Status, base::time_point SentAt,
                    base::time_point Now);
  /// Records that a promotion to \p LedTerm has taken effect.
  void recordTerm(groups::term_number LedTerm);
  /// Records the claim of the group, read from the store by a call sent at
  /// \p ReadAt.
  void recordClaim(const claim_view &Claim, base::time_point ReadAt,
                   base::time_point Now);
  /// Whether \p Instance was the primary when it acknowledged a commit of
  /// \p CommitTerm at \p AcknowledgedAt: a confirmed lease has not ended before
  /// that time point, or a read of the claim vouches for it. Empty if this is
  /// not known yet.
  [[nodiscard]] std::optional<bool> ledAt(base::time_point AcknowledgedAt,
                                          const base::instance_id &Instance,
                                          groups::term_number CommitTerm) const;
  /// Whether a replica that every promotion has to fence has shown
  /// \p Position.
  [[nodiscard]] bool isReplicated(groups::log_position Position) const;
  /// Whether a promotion can still ask this host for a commit that \p Instance
  /// acknowledged at \p AcknowledgedAt: it had not begun, or not outlasted a
  /// lease, by then.
  [[nodiscard]] bool canBeReported(const base::instance_id &Instance,
                                   groups::term_number CommitTerm,
                                   base::time_point AcknowledgedAt) const;
  /// Up to when a read of the claim vouches for acknowledged commits.
  [[nodiscard]] base::time_point atRestUntil() const { return AtRestUntil; }
  /// Ends the lease for a host that promotes an instance. Only proofs sent
  /// after \p Now count from now on.
  void release(base::time_point Now);
  /// Records that an instance of the term \p LeaderTerm was the primary, as
  /// the claim of a promotion shows, without a proof.
  void recordLeader(const base::instance_id &Instance,
                    groups::term_number LeaderTerm);
  /// Highest position that a replica has shown under the present leader, and
  /// that a promotion in progress takes into account. A log that ends before it
  /// may lack acknowledged commits.
  [[nodiscard]] std::optional<groups::log_position> replicatedPosition() const {
    return Replicated;
  }
  /// For which time a read of the claim has to vouch so that all members may
  /// prove the primary; empty if they may, or if no read is due.
  [[nodiscard]] std::optional<base::time_point>
  recentMemberClaimNeededAt(base::time_point Now) const;
  /// Records a position that replicatedPosition() of another host or of an
  /// earlier run has shown.
  void recordReplicated(groups::log_position Position) {
    Replicated = std::max(Replicated.value_or(Position), Position);
  }
  /// Confirms the lease that is running, if all members have answered since,
  /// are unfenced and know no later term. Members that were removed since the
  /// claim was last read may know one.
  void confirmByMembers(base::time_point Now);
  /// Records that a member was removed.
  void recordMemberRemoved(base::time_point Now);
  /// When the lease began that the claim of the group has to confirm; empty if
  /// none is running.
  [[nodiscard]] std::optional<base::time_point>
  claimAwaitedSince(base::time_point Now) const;
  /// When a read of the claim has to be sent at the earliest to vouch for
  /// \p Time, unless an attempt has been begun since the last one. A read that
  /// shows no attempt may precede \p Time by half a lease, so that many commits
  /// and leases share it.
  [[nodiscard]] base::time_point claimNeededAt(base::time_point Time) const {
    return VouchedUntil > ClaimReadAt || !AreMembersKnown
               ? Time - LeaseDuration / 2
               : Time;
  }
  /// Records the confirmed lease of another host, which proved \p Instance at
  /// \p ProvedAt.
  void recordProof(const base::instance_id &Instance,
                   groups::term_number NewTerm, base::time_point ProvedAt);
  /// Records that \p Instance rejected work that only a primary accepts.
  void recordNotPrimary(const base::instance_id &Instance);

  /// The primary of the latest confirmed lease; it may have been replaced
  /// since.
  [[nodiscard]] const std::optional<base::instance_id> &primary() const {
    return Primary;
  }
  [[nodiscard]] groups::term_number term() const { return Term; }
  /// The instance that was last proved to lead, with or without a confirmed
  /// lease. Not to be used for clients, but to be probed and replaced.
  [[nodiscard]] const std::optional<base::instance_id> &leader() const {
    return Leader;
  }
  /// The leader, if no later term is known.
  [[nodiscard]] std::optional<base::instance_id> leaderOfHighestTerm() const;
  /// Highest term reported by any instance or host, with or without a proof.
  [[nodiscard]] groups::term_number highestTerm() const { return HighestTerm; }
  /// Whether a confirmed lease is running at \p Now, so that the primary holds
  /// every acknowledged commit.
  [[nodiscard]] bool isProved(base::time_point Now) const;
  [[nodiscard]] base::time_point provedAt() const { return ProvedAt; }
  /// End of the confirmed lease on \p Instance; the distant past if there is
  /// none.
  [[nodiscard]] base::time_point
  provedUntil(const base::instance_id &Instance) const;
  /// Date of the latest proof, whether its lease is confirmed or not.
  [[nodiscard]] base::time_point latestProofAt() const;

  /// Returns a position that covers every commit acknowledged before \p Time:
  /// the oldest one recorded since then, because most replicas have reached it.
  [[nodiscard]] std::optional<groups::log_position>
  positionSince(base::time_point Time) const;

  /// A position in the primary's log, with the time at which the request that
  /// reported it was sent.
  struct dated_position {
    base::time_point SentAt;
    groups::log_position Position;
  };
  /// The newest position recorded in the current term.
  [[nodiscard]] std::optional<dated_position> newestPosition() const;

  /// Latest status of an instance, with the times at which the status call was
  /// sent and its answer arrived.
  struct dated_status {
    instance_status Status;
    base::time_point SentAt;
    base::time_point ArrivedAt;
  };
  [[nodiscard]] const std::map<base::instance_id, dated_status> &
  statuses() const {
    return Statuses;
  }

  [[nodiscard]] base::json dump() const;

private:
  /// Evidence that an instance leads a term: it and another instance were both
  /// unfenced between SentAt and ArrivedAt.
  struct proof {
    base::instance_id Instance;
    groups::term_number Term = 0;
    base::time_point SentAt;
    base::time_point ArrivedAt;
  };
  /// A lease that no claim has confirmed yet.
  struct unconfirmed_lease {
    base::instance_id Primary;
    groups::term_number Term = 0;
    base::time_point ProvedAt;
    /// When its first proof arrived.
    base::time_point BegunAt;
  };

  void prove(const proof &Proof);
  void proveFromStatuses(base::time_point Now);
  /// Records how far the replicas have followed the leader.
  void recordReplicas(base::time_point Now);
  /// Confirms the lease that is running if the last read of the claim vouches
  /// for it.
  void confirmByClaim();
  /// Sets the confirmed lease, or extends it.
  void confirm(const base::instance_id &Instance, groups::term_number NewTerm,
               base::time_point NewProvedAt, base::time_point BegunAt);
  /// Whether a promotion that may be in progress has to fence \p Instance.
  [[nodiscard]] bool isKnownToPromotions(const base::instance_id &Instance,
                                         base::time_point Now) const;
  [[nodiscard]] bool isLease(const base::instance_id &Instance,
                             groups::term_number OtherTerm) const;
  [[nodiscard]] std::optional<proof>
  confirmedBy(const base::instance_id &Candidate, const dated_status &Dated,
              base::time_point Now) const;

  base::duration LeaseDuration;
  std::set<base::instance_id> Members;
  /// Members that a promotion in progress may not know, with the time at which
  /// they became members.
  std::map<base::instance_id, base::time_point> RecentMembers;
  std::optional<base::instance_id> Primary;
  groups::term_number Term = 0;
  groups::term_number HighestTerm = 0;
  base::time_point ProvedAt;
  /// Since when the confirmed lease has run.
  base::time_point LeaseBegunAt;
  bool HasProof = false;
  base::time_point ReleasedAt;
  std::optional<unconfirmed_lease> Unconfirmed;
  std::optional<base::instance_id> Leader;
  groups::term_number LeaderTerm = 0;
  /// Until then no lease begins on a primary of at most RefusedTerm, since the
  /// claim announced a later one.
  base::time_point RefusedUntil;
  groups::term_number RefusedTerm = 0;
  /// What the claim announced when it was last read.
  groups::term_number AnnouncedTerm = 0;
  base::time_point ClaimReadAt;
  /// No term after AnnouncedTerm was led up to this time point.
  base::time_point VouchedUntil;
  /// Up to this time point, no promotion had waited for the leases to expire.
  base::time_point AtRestUntil;
  /// Whether all instances that may have been promoted since then are members.
  bool AreMembersKnown = false;
  std::map<base::instance_id, dated_status> Statuses;
  std::deque<dated_position> Positions;
  std::optional<groups::log_position> Replicated;
};

} // namespace radishrelay::sessions

#endif
