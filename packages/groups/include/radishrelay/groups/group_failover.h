#ifndef RADISHRELAY_GROUPS_GROUP_FAILOVER_H
#define RADISHRELAY_GROUPS_GROUP_FAILOVER_H

#include "radishrelay/groups/failover_event.h"
#include "radishrelay/groups/primary_failure_detector.h"
#include "radishrelay/groups/probe_schedule.h"
#include "radishrelay/groups/promoter.h"
#include "radishrelay/groups/status_table.h"

namespace radishrelay::groups {

/// One host's part in the failover of one database group: it probes the
/// instances, tells the other hosts of a suspected primary, replaces the
/// primary when hosts of enough failure domains agree, and says where writes
/// go. Probing alone finds a new primary, so routing needs no store.
class group_failover {
public:
  group_failover(const failover_options &Options,
                 std::shared_ptr<const acknowledgement_strategy> Strategy,
                 base::random_generator Random);

  /// Takes an event at \p Now and returns what is to be done.
  failover_actions handle(const failover_event &Event, base::time_point Now);

  /// When time_passed is to be delivered.
  [[nodiscard]] base::time_point nextWake() const;

  /// Where writes go. No primary is named while it is suspected: a write that
  /// waits can still be refused as not run, one that was sent cannot.
  [[nodiscard]] const group_view &view() const { return View; }

  /// Where this host's own promotion stands.
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
  /// Highest term with a log entry.
  term_number Term = 0;
  /// Instance that said it is the primary of Term.
  std::optional<base::instance_id> Primary;

  /// Time of the event in work, and the actions it has led to.
  base::time_point Now;
  failover_actions Actions;
};

} // namespace radishrelay::groups

#endif
