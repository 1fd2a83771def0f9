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
/// An attempt claims a new term, raises a majority of the instances to it,
/// promotes the raised instance with the most advanced log and records it as
/// the primary. Each attempt uses a new term and promotes one instance in it,
/// so a term has at most one primary even if the host pauses between two steps.
class promoter {
public:
  promoter(failover_options Options,
           std::shared_ptr<const acknowledgement_strategy> Strategy,
           base::random_generator Random);

  /// Starts an attempt to replace the primary of term \p Suspected, unless one
  /// is in progress or the back-off after the previous one has not ended.
  void start(term_number Suspected, base::time_point Now);

  /// Cancels an attempt that has not claimed a term. Called when the primary is
  /// no longer suspected.
  void cancelUnclaimed();

  /// Processes an answer of an instance; answers to probes are used as well.
  void handle(const instance_answer &Answer, base::time_point Now,
              failover_actions &Actions);
  /// Processes an answer of the table service. Answers to other calls than the
  /// pending one are ignored.
  void handle(const store_call_answer &Answer, base::time_point Now,
              failover_actions &Actions);
  /// Performs the step that is due at \p Now: ends a delay or an attempt whose
  /// deadline has passed, or repeats calls.
  void advance(base::time_point Now, failover_actions &Actions);

  /// Returns the time at which advance has to be called next; while idle, the
  /// earliest time of the next attempt.
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
  /// Time of the next step of the current stage.
  base::time_point DueAt;
  /// Time at which raising and promoting are abandoned.
  base::time_point AttemptDeadline;
  /// Earliest time at which the next attempt may start.
  base::time_point NotBefore;
  store_call_id LastCallId = 0;
  /// True while the table service call LastCallId is unanswered.
  bool IsCallPending = false;
  /// Term of the primary to replace.
  term_number SuspectedTerm = 0;
  /// Highest term that an instance has reported.
  term_number HighestObservedTerm = 0;
  /// Highest term that this promoter has used.
  term_number HighestUsedTerm = 0;
  /// Record of the current attempt as this promoter writes it. Its primary is
  /// the instance chosen for promotion.
  group_record Record;
  /// Version of the group's row on which the next conditional write depends.
  base::row_version Version = 0;
  /// Row version with another promoter's term to which this promoter has given
  /// time once already.
  base::row_version DeferredToVersion = 0;
  /// Instances that are raised to the attempt's term, with their statuses.
  std::map<base::instance_id, instance_status> Raised;
};

} // namespace radishrelay::groups

#endif
