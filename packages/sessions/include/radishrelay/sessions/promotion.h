#ifndef RADISHRELAY_SESSIONS_PROMOTION_H
#define RADISHRELAY_SESSIONS_PROMOTION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/base/store_answer.h"
#include "radishrelay/sessions/engine_options.h"
#include "radishrelay/sessions/group_leadership.h"
#include "radishrelay/sessions/instance_status.h"
#include "radishrelay/sessions/order_outcome.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishrelay::sessions {

/// Stages of a promotion attempt, in order.
enum class promotion_stage {
  Idle,
  /// Reads the claim row of the group.
  Reading,
  /// Writes this host's claim.
  Claiming,
  /// Fences the instances.
  Fencing,
  /// Waits until the leases on the old primary have expired on all hosts.
  AwaitingLeases,
  /// Checks that no instance lost its fence in a restart during that wait.
  Verifying,
  /// Announces the order in the claim.
  Announcing,
  /// Orders the platform to promote the candidate.
  Ordering,
  /// Waits until the candidate reports that it is the primary.
  Confirming,
};

/// Requests a call to the table store.
struct promotion_store_call {
  /// Identifies the call in promotion::storeAnswered().
  std::uint64_t Number = 0;
  base::store_request Request;
};
/// Requests that a replica be fenced, or a primary be demoted, for a term. A
/// demoted primary is fenced afterwards.
struct promotion_fence {
  base::instance_id Instance;
  bool IsPrimary = false;
  groups::term_number Term = 0;
};
/// Requests that the fence of a replica be removed.
struct promotion_unfence {
  base::instance_id Instance;
};
/// Requests that the platform promote an instance.
struct promotion_order {
  /// Identifies the order in promotion::orderAnswered().
  std::uint64_t Number = 0;
  base::instance_id Instance;
  std::uint64_t Generation = 0;
  /// Time after which another host may hold the claim, so that the order must
  /// not be sent.
  base::time_point Deadline;
};
/// Requests the status of an instance.
struct promotion_status {
  base::instance_id Instance;
};
/// Reports why an attempt has ended without a promotion.
struct promotion_abandoned {
  std::string Reason;
};
using promotion_action =
    std::variant<promotion_store_call, promotion_fence, promotion_unfence,
                 promotion_order, promotion_status, promotion_abandoned>;
using promotion_actions = std::vector<promotion_action>;

/// An instance that may take part in a promotion.
struct promotion_member {
  base::instance_id Instance;
  bool Draining = false;
  /// Whether the instance must not become the primary if another one can.
  bool Evacuated = false;

  friend bool operator==(const promotion_member &,
                         const promotion_member &) = default;
};

/// The primary to replace, and the members of its group.
struct promotion_request {
  /// The primary of Term; empty when that is not known.
  base::instance_id OldPrimary;
  groups::term_number Term = 0;
  std::vector<promotion_member> Members;
  /// Whether the old primary answers, so that it can be demoted before the
  /// replicas are fenced. They then receive what it has still committed.
  bool IsPrimaryReachable = false;
};

/// What the host knows about the replicas of a group, for a promotion without
/// the old primary.
struct replica_knowledge {
  /// Position that a replica must have reached to hold every commit that was
  /// acknowledged with a replica that has left, restarted or is not listed;
  /// empty if no such position is known.
  std::optional<groups::log_position> NeededPosition;
  /// Whether the list of members is known to contain every live instance that
  /// has had time to report.
  bool IsListComplete = false;
  /// Whether all hosts have said, since the replicas were fenced, which commits
  /// they have acknowledged.
  bool AreCommitsReported = false;
  /// The highest position that they have named.
  std::optional<groups::log_position> Acknowledged{};
  /// Latest time at which the list is known to have been current.
  base::time_point ListedAt{};
  /// Highest position that a replica has shown; see
  /// group_leadership::replicatedPosition().
  std::optional<groups::log_position> Replicated{};

  friend bool operator==(const replica_knowledge &,
                         const replica_knowledge &) = default;
};

/// Row in which the hosts claim the promotions of \p Group.
base::row_key promotionClaimKey(const base::group_id &Group);
/// What \p Claim, which is null if there is none, says about the terms.
claim_view viewOf(const base::json &Claim);
/// Term that a promotion is known to lead, according to \p Claim; 0 if none.
groups::term_number ledTermOf(const base::json &Claim);

/// State machine that replaces the primary of one database group.
///
/// Each acknowledged commit is in the log of the primary and was received by a
/// replica. The most advanced fenced instance is promoted. If the old primary
/// is among the fenced instances, the promoted one therefore holds all
/// acknowledged commits. Otherwise all replicas must be fenced, no replica may
/// be unknown, and one must have reached replica_knowledge::NeededPosition,
/// since a replica that has left may have taken its copy of a commit along.
///
/// A replica is listed up to JoinPeriod after its start, and may have confirmed
/// commits before. Without the old primary, an order therefore needs either the
/// reports of all hosts, none of which has acknowledged a commit beyond the
/// verified logs, or a list that was current JoinPeriod after the leases had
/// expired.
///
/// A log that ends before replica_knowledge::Replicated is never promoted, even
/// if all members that have more are gone: an instance that started while there
/// was no primary holds nothing. The claim carries that position and the name
/// of the old primary for hosts that are started anew and know neither.
///
/// One host at a time may do this: it holds the claim, a row in the table store
/// that is written under a condition on its version. The version of the claim
/// is the generation number of the order.
///
/// The platform carries out an order whenever it arrives, and an order may be
/// held up on its way after the host that sent it has stopped. The host
/// therefore announces the order in the claim first, which fails if another
/// host has taken the claim. An announced order without an answer is only
/// repeated; nobody orders another promotion until it can no longer arrive.
///
/// A store that is restored from a copy
/// may lose claims, so a host claims nothing for the lifetime of a claim after
/// it has first seen a history of the store.
///
/// The claim also carries the highest term that an announced order may have led
/// to, beyond the claims that follow it. Hosts read it to confirm a lease, see
/// group_leadership.
///
/// The caller executes the actions that the functions append.
class promotion {
public:
  promotion(base::group_id Group, const engine_options &Options);

  /// Starts an attempt, unless one is in progress or the last one is too
  /// recent.
  void start(promotion_request NewRequest, base::time_point Now,
             promotion_actions &Actions);
  /// Handles the answer to the store call \p Number; answers to earlier calls
  /// are ignored.
  void storeAnswered(std::uint64_t Number, const base::store_answer &Answer,
                     base::time_point Now, promotion_actions &Actions);
  /// Handles the answer of \p Instance to a fence, demote or status call sent
  /// at \p SentAt.
  void instanceAnswered(const base::instance_id &Instance,
                        const instance_status &Status, base::time_point SentAt,
                        base::time_point Now, promotion_actions &Actions);
  /// Sets what is known about the replicas now.
  void setReplicaKnowledge(const replica_knowledge &Value) {
    Knowledge = Value;
    recordReplicated(Value.Replicated);
  }
  /// Sets when this host has first seen the present history of the store (see
  /// base::versionIn). Until claims of earlier histories have expired, nothing
  /// is claimed, since such claims may be lost.
  void setHistorySeenAt(base::time_point Value) { HistorySeenAt = Value; }
  /// Reports that \p Member is a member of the group. One that joined after the
  /// start may hold acknowledged commits, so it takes part in the attempt.
  void recordListedMember(const promotion_member &Member, base::time_point Now,
                          promotion_actions &Actions);
  /// Reports that \p Instance is no longer a member of the group.
  void recordMemberRemoved(const base::instance_id &Instance);
  /// Handles the outcome of the order \p Number; outcomes of orders of earlier
  /// attempts are ignored.
  void orderAnswered(std::uint64_t Number, order_outcome Outcome,
                     base::time_point Now);
  void advance(base::time_point Now, promotion_actions &Actions);

  /// When enough members were fenced; empty if they are not, or if the old
  /// primary is among them.
  [[nodiscard]] std::optional<base::time_point> fencedWithoutPrimaryAt() const;
  /// When the list of members has to be read, for an order without the reports
  /// of all hosts; empty if there is no such order to come.
  [[nodiscard]] std::optional<base::time_point> listNeededAt() const;
  [[nodiscard]] promotion_stage stage() const { return Stage; }
  [[nodiscard]] bool isIdle() const { return Stage == promotion_stage::Idle; }
  /// Whether the platform has been asked to promote an instance.
  [[nodiscard]] bool isOrdered() const {
    return Stage == promotion_stage::Ordering ||
           Stage == promotion_stage::Confirming;
  }
  /// Highest term that a claim has shown to be led, 0 if none has.
  [[nodiscard]] groups::term_number ledTerm() const { return LedTerm; }
  [[nodiscard]] base::time_point nextWake() const;
  [[nodiscard]] base::json dump() const;

private:
  void enter(promotion_stage Next, base::time_point Due);
  void abandon(std::string_view Reason, base::time_point Now,
               promotion_actions &Actions);
  void abandonExpired(base::time_point Now, promotion_actions &Actions);
  void readClaim(base::time_point Now, promotion_actions &Actions);
  void onRead(const base::store_answer &Answer, base::time_point Now,
              promotion_actions &Actions);
  void onClaimed(const base::store_answer &Answer, base::time_point Now,
                 promotion_actions &Actions);
  /// State of a promotion that its claim shows to other hosts.
  enum class claim_state { Open, Ordering, Done };
  /// Time for which a claim is respected after it was first seen.
  [[nodiscard]] base::duration claimPeriod(const base::json &Claim) const;
  /// Whether \p Claim announces an order that may still reach the platform.
  [[nodiscard]] bool mayOrderArrive(const base::json &Claim) const;
  /// Returns the number of the call.
  std::uint64_t writeClaim(claim_state State, promotion_actions &Actions);
  /// Returns the number of the call.
  std::uint64_t callStore(base::store_request StoreRequest,
                          promotion_actions &Actions);
  void beginFencing(base::time_point Now, promotion_actions &Actions);
  void sendFences(promotion_actions &Actions) const;
  void beginVerifying(base::time_point Now, promotion_actions &Actions);
  /// Verifies the fences again, or fences the instances that are not fenced.
  void resumeVerifying(base::time_point Now, promotion_actions &Actions);
  void onNewerTerm(const base::instance_id &Instance,
                   const instance_status &Status, base::time_point Now,
                   promotion_actions &Actions);
  void onFenceAnswer(const base::instance_id &Instance,
                     const instance_status &Status, base::time_point Now,
                     promotion_actions &Actions);
  void onUnfencedAnswer(const base::instance_id &Instance,
                        const instance_status &Status,
                        promotion_actions &Actions);
  void onVerified(const base::instance_id &Instance,
                  const instance_status &Status, base::time_point SentAt,
                  base::time_point Now, promotion_actions &Actions);
  /// When all leases on the old primary have expired; valid once enough members
  /// are fenced.
  [[nodiscard]] base::time_point leasesExpireAt() const;
  void onCandidateAnswer(const instance_status &Status, base::time_point Now,
                         promotion_actions &Actions);
  [[nodiscard]] bool isFenced(const instance_status &Status) const;
  [[nodiscard]] std::size_t neededFences() const;
  [[nodiscard]] bool isMember(const base::instance_id &Instance) const;
  void fence(const base::instance_id &Instance,
             promotion_actions &Actions) const;
  /// Whether the verified instances hold every acknowledged commit.
  [[nodiscard]] bool holdsAllCommits() const;
  /// Whether a verified instance has reached \p Position.
  [[nodiscard]] bool hasReached(const groups::log_position &Position) const;
  /// Whether no acknowledged commit can be on unlisted replicas alone.
  [[nodiscard]] bool areUnlistedExcluded() const;
  void chooseCandidate();
  [[nodiscard]] const promotion_member *
  memberOf(const base::instance_id &Instance) const;
  /// Position at which the log of a verified instance holds every acknowledged
  /// commit.
  [[nodiscard]] groups::log_position sufficientPosition() const;
  /// Whether the verified replicas hold every acknowledged commit without the
  /// old primary.
  [[nodiscard]] bool doReplicasHoldAllCommits() const;
  /// Whether the candidate is evacuated and a member outside may still answer.
  bool isBetterCandidateAwaited(base::time_point Now);
  void announceOrder(base::time_point Now, promotion_actions &Actions);
  void onAnnounced(const base::store_answer &Answer, base::time_point Now,
                   promotion_actions &Actions);
  void order(base::time_point Now, promotion_actions &Actions);
  /// Whether a claim of another host may have been lost with an earlier history
  /// of the store.
  [[nodiscard]] bool mayClaimBeLost(base::time_point Now) const;
  [[nodiscard]] std::string claimOwner() const;
  void recordReplicated(const std::optional<groups::log_position> &Position);
  void awaitLeases(base::time_point Now);

  base::group_id Group;
  engine_options Options;
  base::random_generator Random;

  promotion_stage Stage = promotion_stage::Idle;
  base::time_point DueAt;
  base::time_point NotBefore;
  /// Time after which another host may take the claim, unless it announces an
  /// order.
  base::time_point ClaimDeadline;
  /// End of the attempt, after which nothing is ordered.
  base::time_point AttemptDeadline;
  /// Time after which an order needs a new announcement.
  base::time_point OrderDeadline;
  std::uint64_t LastOrder = 0;
  /// Number of the last order of earlier attempts.
  std::uint64_t EarlierOrders = 0;
  /// Orders that may still reach the platform.
  std::size_t OpenOrders = 0;
  std::uint64_t LastCall = 0;
  /// Store call whose answer this stage waits for.
  std::optional<std::uint64_t> OpenCall;
  promotion_request Request;
  /// Term for which the members are fenced: above all that may be led.
  groups::term_number FenceTerm = 0;
  std::string Operation;
  /// Version of the claim as it was first written.
  std::uint64_t Generation = 0;
  /// Present version of the claim.
  base::row_version ClaimVersion = 0;
  std::optional<base::time_point> HistorySeenAt;
  /// History of the store in which the claim was last read.
  std::uint64_t ReadHistory = 0;
  base::row_version SeenVersion = 0;
  base::time_point SeenAt;
  /// Highest term that a claim has shown to be led.
  groups::term_number LedTerm = 0;
  /// Highest term that announced orders may lead to, and the same without the
  /// order of this attempt.
  groups::term_number AnnouncedTerm = 0;
  groups::term_number EarlierAnnouncedTerm = 0;
  std::map<base::instance_id, instance_status> Fenced;
  /// When the claim of this attempt was known to be written.
  base::time_point ClaimedAt;
  /// Time at which enough members were fenced.
  std::optional<base::time_point> FencedAt;
  /// Whether the old primary has reported that it is a replica.
  bool IsPrimaryDemoted = false;
  replica_knowledge Knowledge;
  /// Highest position that a replica was known to have reached, also by the
  /// claims of other hosts.
  std::optional<groups::log_position> Replicated;
  /// Until when an evacuated candidate is not ordered, since a member outside
  /// may answer.
  std::optional<base::time_point> BetterAwaitedUntil;
  /// Members found still fenced after the leases have expired.
  std::set<base::instance_id> Verified;
  base::instance_id Candidate;
};

} // namespace radishrelay::sessions

#endif
