#ifndef RADISHRELAY_SESSIONS_DETAIL_GROUP_SUPERVISOR_H
#define RADISHRELAY_SESSIONS_DETAIL_GROUP_SUPERVISOR_H

#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/detail/backend_pool.h"
#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/promotion_votes.h"
#include "radishrelay/sessions/detail/store_calls.h"
#include "radishrelay/sessions/event_log.h"
#include "radishrelay/sessions/group_leadership.h"
#include "radishrelay/sessions/promotion.h"

#include <optional>
#include <set>
#include <utility>

namespace radishrelay::sessions::detail {

/// One host's care for one database group: proves the primary when sessions
/// need it, and has a lost or leaving primary replaced.
class group_supervisor {
public:
  group_supervisor(base::group_id Group, const engine_options &Options,
                   backend_pool &Pool, store_calls &Store,
                   fleet_members &Members, event_log &Log);

  /// Takes the listed instances of the group.
  void setListings(const std::map<base::instance_id, instance_listing> &List,
                   base::time_point Now);
  /// Nothing had changed in the list at \p Time.
  void recordListConfirmed(base::time_point Time) { ListConfirmedAt = Time; }
  void setSettings(const group_settings &Settings);
  void setRoles(const group_roles &NewRoles) { Roles = NewRoles; }
  /// Account for connections that are opened for status calls.
  void setCallAccount(const base::account_id &Account) {
    CallAccount = Account;
  }

  [[nodiscard]] group_leadership &leadership() { return Leadership; }
  [[nodiscard]] const group_leadership &leadership() const {
    return Leadership;
  }
  /// True once after a promotion has started: it needs the newest list.
  bool takeListRequest() { return std::exchange(IsListRequested, false); }
  /// The primary, if it may be used now.
  [[nodiscard]] std::optional<base::instance_id>
  usablePrimary(base::time_point Now) const;
  /// The latest primary, also without a proof: for writes whose acknowledgement
  /// depends on a replica.
  [[nodiscard]] std::optional<base::instance_id> primaryForWrites() const;
  /// Whether a new primary is expected within PromotionTimeout.
  [[nodiscard]] bool isPromotionOrdered() const;
  /// The primary answers nothing, neither probes nor statements.
  [[nodiscard]] bool isPrimaryLost() const {
    return FailedProbes >= 2 && PrimaryAnsweredAt < FirstFailureAt;
  }

  /// A session needs a proved primary.
  void requestProof(base::time_point Now);
  void recordFailure(const base::instance_id &Instance, base::time_point Now);
  /// An instance answered anything.
  void recordAnswer(const base::instance_id &Instance, base::time_point Now) {
    if (Leadership.primary() == Instance)
      PrimaryAnsweredAt = Now;
  }
  void recordWriteTimeout(const base::instance_id &Instance);
  void recordCommit(const base::instance_id &Instance,
                    groups::log_position Position, base::time_point SentAt,
                    base::time_point Now);
  /// A call of the proxy itself was answered; true if the primary is proved
  /// since.
  bool callAnswered(const base::instance_id &Instance,
                    const instance_status &Status, base::time_point SentAt,
                    base::time_point Now);
  /// What this host can prove, for another host of its failure domain; empty
  /// when it proves nothing now.
  [[nodiscard]] std::optional<proof_reply>
  proofReply(const proof_request &Request, base::time_point Now) const;
  /// Answers with an proofReply now, or once the primary is proved.
  void receive(const proof_request &Request, const std::string &ReplyTo,
               base::time_point Now);
  void receive(const promotion_vote &Vote, base::time_point Now) {
    Votes.receive(Vote, Now);
  }
  /// Takes another host's proof; true if the primary is proved by it.
  bool receive(const proof_reply &Reply, base::time_point Now);
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake(base::time_point Now) const;
  [[nodiscard]] base::json dump() const;

private:
  struct member_state {
    instance_listing Listing;
    bool IsListed = true;
    base::time_point UnlistedAt;
    /// When it was first seen leaving.
    base::time_point LeavingSince;
  };

  /// Whether a replica that is no longer listed has ended as announced. Its log
  /// is gone with it, so a promotion need not fence it. A primary that has
  /// ended still counts, since an acknowledged commit may be on either replica.
  [[nodiscard]] bool hasLeft(const base::instance_id &Instance,
                             const member_state &Member) const;

  /// Renews the proof in time: asks other hosts first, then instances.
  void seekProof(base::time_point Now);
  void requestProofFromProbers(base::time_point Now);
  void answerOpenRequests(base::time_point Now);
  [[nodiscard]] base::duration demandLifetime() const;
  /// Whom a probe asks.
  [[nodiscard]] std::vector<base::instance_id>
  probeTargets(base::time_point Now) const;
  [[nodiscard]] bool isReachable(const base::instance_id &Instance,
                                 base::time_point Now) const;
  void startProbe(base::time_point Now);
  /// Probes fail and the primary has answered nothing since.
  [[nodiscard]] bool isPrimaryUnresponsive() const {
    return FailedProbes > 0 && PrimaryAnsweredAt < FirstFailureAt;
  }
  /// Something failed on the primary after its latest proof.
  [[nodiscard]] bool isPrimarySuspected() const {
    return FailedProbes > 0 || FirstFailureAt > Leadership.provedAt();
  }
  void startProbeIfDue(base::time_point Now);
  void endProbe(base::time_point Now);
  void recordPrimaryProved(base::time_point Now);
  [[nodiscard]] bool isProbeNeeded(base::time_point Now) const;
  [[nodiscard]] bool isVoteDue(base::time_point Now) const;
  [[nodiscard]] bool isPrimaryLeaving() const;
  void considerPromotion(base::time_point Now);
  void castVote(base::time_point Now);
  [[nodiscard]] bool canFence(base::time_point Now) const;
  /// The primary has just said that it leads in the newest term.
  [[nodiscard]] bool doesPrimaryLead(base::time_point Now) const;
  void startPromotion(base::time_point Now, std::string_view Reason);
  void executeActions(const promotion_actions &Actions, base::time_point Now);
  void updateMembers();

  base::group_id Group;
  engine_options Options;
  backend_pool &Pool;
  store_calls &Store;
  fleet_members &Fleet;
  event_log &Log;
  group_settings Settings;
  group_roles Roles;
  base::account_id CallAccount;

  group_leadership Leadership;
  promotion Promotion;
  promotion_votes Votes;
  std::map<base::instance_id, member_state> Members;
  /// Failure domains of all listed instances, of other groups too.
  std::set<base::failure_domain_id> ListedDomains;
  base::time_point ListConfirmedAt;
  bool IsListRequested = false;

  /// Last time at which a session needed a proof.
  base::time_point ProofRequestedAt;
  /// Until when answers of other hosts are awaited before a probe.
  std::optional<base::time_point> ReplyDeadline;
  base::time_point NextProofRequestAt;
  std::size_t ProberIndex = 0;
  /// OpenRequests of other hosts that could not be answered yet.
  struct open_request {
    proof_request Request;
    std::string ReplyTo;
    base::time_point ReceivedAt;
  };
  std::vector<open_request> OpenRequests;
  bool IsProbing = false;
  base::time_point ProbeStartedAt;
  base::time_point NextProbeAt;
  std::uint32_t FailedProbes = 0;
  base::time_point FirstFailureAt;
  base::time_point PrimaryAnsweredAt;
  std::uint32_t WriteTimeouts = 0;
  /// When the primary was first seen leaving, or votes agreed.
  std::optional<base::time_point> ReplaceDueSince;
  base::time_point NextVoteAt;
  bool HasVoted = false;
  std::optional<base::instance_id> LoggedPrimary;
  groups::term_number LoggedTerm = 0;
};

} // namespace radishrelay::sessions::detail

#endif
