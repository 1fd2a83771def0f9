#ifndef RADISHRELAY_GROUPS_PROMOTER_H
#define RADISHRELAY_GROUPS_PROMOTER_H

#include "radishrelay/base/backoff.h"
#include "radishrelay/base/retry_budget.h"
#include "radishrelay/groups/acknowledgement_strategy.h"
#include "radishrelay/groups/failover_action.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/group_record.h"
#include "radishrelay/groups/instance_answer.h"
#include "radishrelay/groups/promotion_stage.h"
#include "radishrelay/groups/store_call_answer.h"

#include <map>
#include <memory>

namespace radishrelay::groups {

/// Replaces the primary of one database group.
///
/// Claims a term, raises it on a majority, promotes the most advanced instance
/// and records it. It uses a term once and promotes one instance in it, so
/// that a term has at most one primary, however often it was paused between
/// two steps.
class promoter {
public:
  promoter(failover_options Options,
           std::shared_ptr<const acknowledgement_strategy> Strategy,
           base::random_generator Random);

  /// Starts to replace the primary of term \p Suspected, unless an attempt is
  /// under way or the back-off has not ended.
  void start(term_number Suspected, base::time_point Now);

  /// Ends an attempt that has not onClaimSucceeded a term; the primary is well
  /// again.
  void cancelUnclaimed();

  /// Takes any answer of an instance, also to probes.
  void handle(const instance_answer &Answer, base::time_point Now,
              failover_actions &Actions);
  /// Takes the answer to a store call of this promoter.
  void handle(const store_call_answer &Answer, base::time_point Now,
              failover_actions &Actions);
  /// Starts what is due: delays, deadlines and repeated calls.
  void advance(base::time_point Now, failover_actions &Actions);

  [[nodiscard]] base::time_point nextWake() const;
  [[nodiscard]] promotion_stage stage() const { return Stage; }

  [[nodiscard]] base::json dump() const;

private:
  void enter(promotion_stage Next, base::time_point Due);
  void finish(base::time_point NextAttempt);
  void backOff(base::time_point Now);
  void beginAttempt(base::time_point Now, failover_actions &Actions);

  void send(base::store_request Request, base::time_point Now,
            failover_actions &Actions);
  void readRecord(promotion_stage Next, base::time_point Now,
                  failover_actions &Actions);
  void writeRecord(promotion_stage Next, base::time_point Now,
                   failover_actions &Actions);
  void handleStoreAnswer(const base::store_answer &Answer, base::time_point Now,
                         failover_actions &Actions);
  void onRead(const base::store_answer &Answer, base::time_point Now,
              failover_actions &Actions);
  void onClaim(const base::store_answer &Answer, base::time_point Now,
               failover_actions &Actions);
  void onReadBack(const base::store_answer &Answer, base::time_point Now,
                  failover_actions &Actions);
  void onRecorded(const base::store_answer &Answer, base::time_point Now);
  void claimUnlessOwned(const base::store_answer &Answer, base::time_point Now,
                        failover_actions &Actions);
  [[nodiscard]] base::duration takeoverDelay() const;
  void chooseTerm(term_number StoredTerm);
  void onClaimSucceeded(base::row_version NewVersion, base::time_point Now,
                        failover_actions &Actions);

  void beginRaising(base::time_point Now, failover_actions &Actions);
  void onRaised(const instance_answer &Answer, base::time_point Now,
                failover_actions &Actions);
  void onPromoted(const instance_answer &Answer, base::time_point Now,
                  failover_actions &Actions);
  void beginRecording(base::time_point Now, failover_actions &Actions);
  void callInstances(base::time_point Now, failover_actions &Actions);
  void requestStatus(const base::instance_id &Instance, base::time_point Now,
                     failover_actions &Actions) const;
  [[nodiscard]] base::instance_id mostAdvanced() const;
  [[nodiscard]] std::string ownerName() const;

  failover_options Options;
  std::shared_ptr<const acknowledgement_strategy> Strategy;
  base::random_generator Random;
  base::backoff Backoff;
  base::retry_budget Budget;

  promotion_stage Stage = promotion_stage::Idle;
  /// Next time at which the current stage has something to do.
  base::time_point DueAt;
  /// End of the raise and promotion.
  base::time_point AttemptDeadline;
  /// No attempt starts before.
  base::time_point NotBefore;
  store_call_id LastCallId = 0;
  /// True while the store call LastCallId is unanswered.
  bool IsCallPending = false;
  /// Term whose primary is to be replaced.
  term_number SuspectedTerm = 0;
  /// Highest term seen on an instance.
  term_number HighestObservedTerm = 0;
  /// Highest term that this promoter has used.
  term_number HighestUsedTerm = 0;
  /// What this promoter has written or writes; its primary is the instance
  /// chosen for promotion.
  group_record Record;
  base::row_version Version = 0;
  /// Row version of another promoter's term that was waited for.
  base::row_version DeferredToVersion = 0;
  std::map<base::instance_id, instance_status> Raised;
};

} // namespace radishrelay::groups

#endif
