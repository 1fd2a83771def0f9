#ifndef RADISHRELAY_GROUPS_GROUP_FAILOVER_H
#define RADISHRELAY_GROUPS_GROUP_FAILOVER_H

#include "radishrelay/groups/failover_event.h"
#include "radishrelay/groups/primary_failure_detector.h"
#include "radishrelay/groups/probe_schedule.h"
#include "radishrelay/groups/promoter.h"
#include "radishrelay/groups/status_table.h"

namespace radishrelay::groups {

/// Failover logic that one host runs for one database group. It probes the
/// instances, sends votes to the other hosts while it suspects the primary,
/// replaces the primary when hosts in enough failure domains agree, and
/// determines the instance that receives writes. A new primary is found by
/// probing alone, so routing does not depend on the table service.
///
/// A state machine without input and output of its own: the caller delivers
/// events and carries out the returned actions.
class group_failover {
public:
  group_failover(const failover_options &Options,
                 std::shared_ptr<const acknowledgement_strategy> Strategy,
                 base::random_generator Random);

  /// Processes \p Event, which occurred at \p Now, and returns the actions for
  /// the caller to carry out.
  failover_actions handle(const failover_event &Event, base::time_point Now);

  /// Returns the time at which the caller has to deliver time_passed.
  [[nodiscard]] base::time_point nextWake() const;

  /// Returns the current term and the instance that receives writes. The view
  /// has no primary while the primary is suspected: a write that is still
  /// waiting can be refused as not run, one that was sent cannot.
  [[nodiscard]] const group_view &view() const { return View; }

  /// Returns the stage of this host's own promotion attempt.
  [[nodiscard]] promotion_stage promotionStage() const {
    return Promoter.stage();
  }

  [[nodiscard]] base::json dump() const;

private:
  void on(const instance_answer &Answer);
  void on(const store_call_answer &Answer);
  void on(const promotion_vote &Message);
  void on(const reachable_domains &Reachable);
  void on(const time_passed &) {}
  void recordProbe(const base::instance_id &Instance, bool IsAnswered);
  void updateTerm();
  void updateView();
  void updatePromoter();
  void startProbes();
  [[nodiscard]] bool canCommit() const;
  [[nodiscard]] bool majorityResponds() const;
  [[nodiscard]] bool isUrgent() const;

  failover_options Options;
  status_table Statuses;
  probe_schedule Probes;
  primary_failure_detector FailureDetector;
  promoter Promoter;
  group_view View;
  /// Highest term that an instance has reported for its log.
  term_number Term = 0;
  /// Instance that reported to be the primary of Term.
  std::optional<base::instance_id> Primary;

  /// Time of the event that is being processed, and the actions collected for
  /// it.
  base::time_point Now;
  failover_actions Actions;
};

} // namespace radishrelay::groups

#endif
