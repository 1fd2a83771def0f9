#ifndef RADISHRELAY_SESSIONS_PROMOTION_H
#define RADISHRELAY_SESSIONS_PROMOTION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/base/store_answer.h"
#include "radishrelay/sessions/engine_options.h"
#include "radishrelay/sessions/instance_status.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishrelay::sessions {

enum class promotion_stage {
  Idle,
  /// Reads the claim of the group.
  Reading,
  /// Writes the own claim.
  Claiming,
  /// Fences the instances.
  Fencing,
  /// Waits until no host may use the old primary.
  AwaitingLeases,
  /// Checks that no fence was lost to a restart while leases ran out.
  Verifying,
  /// Orders the promotion.
  Ordering,
  /// Waits until the new primary says that it leads.
  Confirming,
};

/// Asks for a call to the table service.
struct promotion_store_call {
  base::store_request Request;
};
/// Asks to fence a replica, or to demote a primary, for a term.
struct promotion_fence {
  base::instance_id Instance;
  bool IsPrimary = false;
  groups::term_number Term = 0;
};
/// Asks to end the fence of a replica.
struct promotion_unfence {
  base::instance_id Instance;
};
/// Asks the platform to promote an instance.
struct promotion_order {
  base::instance_id Instance;
  std::uint64_t Generation = 0;
};
/// Asks for the status of an instance.
struct promotion_status {
  base::instance_id Instance;
};
/// Tells why an attempt has ended without a promotion.
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

  friend bool operator==(const promotion_member &,
                         const promotion_member &) = default;
};

/// What is to be replaced.
struct promotion_request {
  /// Empty when no primary is known.
  base::instance_id OldPrimary;
  groups::term_number Term = 0;
  std::vector<promotion_member> Members;
};

/// Replaces the primary of one database group.
///
/// An acknowledged commit is held by the primary and a replica. All members
/// but one must be fenced, so at least one fenced instance holds each
/// acknowledged commit, and no further one can be acknowledged. The most
/// advanced fenced instance is promoted. One host at a time does so: the claim
/// is a row that is written under a condition, and its version is the
/// generation number of the order.
class promotion {
public:
  promotion(base::group_id Group, const engine_options &Options);

  /// Starts unless an attempt is under way or the last one was too recent.
  void start(promotion_request NewRequest, base::time_point Now,
             promotion_actions &Actions);
  void storeAnswered(const base::store_answer &Answer, base::time_point Now,
                     promotion_actions &Actions);
  /// An instance answered to a fence, demotion or status call that was sent at
  /// \p SentAt.
  void instanceAnswered(const base::instance_id &Instance,
                        const instance_status &Status, base::time_point Now,
                        promotion_actions &Actions);
  /// The platform took the order (\p Accepted) or did not.
  /// \p Instance is a member of the group. One that joined after the start may
  /// hold acknowledged commits and is not fenced, so the attempt is given up.
  void recordListedMember(const base::instance_id &Instance,
                          base::time_point Now, promotion_actions &Actions);
  void orderAnswered(bool Accepted, base::time_point Now,
                     promotion_actions &Actions);
  void advance(base::time_point Now, promotion_actions &Actions);

  [[nodiscard]] promotion_stage stage() const { return Stage; }
  [[nodiscard]] bool isIdle() const { return Stage == promotion_stage::Idle; }
  /// True once the platform has been asked to promote.
  [[nodiscard]] bool isOrdered() const {
    return Stage == promotion_stage::Ordering ||
           Stage == promotion_stage::Confirming;
  }
  [[nodiscard]] base::time_point nextWake() const;
  [[nodiscard]] base::json dump() const;

private:
  void enter(promotion_stage Next, base::time_point Due);
  void abandon(std::string_view Reason, base::time_point Now,
               promotion_actions &Actions);
  void readClaim(base::time_point Now, promotion_actions &Actions);
  void onRead(const base::store_answer &Answer, base::time_point Now,
              promotion_actions &Actions);
  void onClaimed(const base::store_answer &Answer, base::time_point Now,
                 promotion_actions &Actions);
  void writeClaim(base::row_version Version, bool IsDone,
                  promotion_actions &Actions) const;
  void beginFencing(base::time_point Now, promotion_actions &Actions);
  void sendFences(promotion_actions &Actions) const;
  void beginVerifying(base::time_point Now, promotion_actions &Actions);
  void onFenceAnswer(const base::instance_id &Instance,
                     const instance_status &Status, base::time_point Now,
                     promotion_actions &Actions);
  void onVerified(const base::instance_id &Instance,
                  const instance_status &Status, base::time_point Now,
                  promotion_actions &Actions);
  void onCandidateAnswer(const instance_status &Status, base::time_point Now,
                         promotion_actions &Actions);
  [[nodiscard]] bool isFenced(const base::instance_id &Instance,
                              const instance_status &Status) const;
  [[nodiscard]] std::size_t neededFences() const;
  void chooseCandidate();
  void order(base::time_point Now, promotion_actions &Actions);
  [[nodiscard]] base::row_key claimKey() const;
  [[nodiscard]] std::string claimOwner() const;

  base::group_id Group;
  engine_options Options;
  base::random_generator Random;

  promotion_stage Stage = promotion_stage::Idle;
  base::time_point DueAt;
  base::time_point NotBefore;
  /// After it the claim may pass to another host, and nothing is ordered.
  base::time_point AttemptDeadline;
  bool IsCallOpen = false;
  promotion_request Request;
  groups::term_number NewTerm = 0;
  std::string Operation;
  std::uint64_t Generation = 0;
  base::row_version SeenVersion = 0;
  base::time_point SeenAt;
  std::map<base::instance_id, instance_status> Fenced;
  /// When enough members were fenced.
  std::optional<base::time_point> FencedAt;
  /// Members found still fenced after the leases have run out.
  std::set<base::instance_id> Verified;
  base::instance_id Candidate;
};

} // namespace radishrelay::sessions

#endif
