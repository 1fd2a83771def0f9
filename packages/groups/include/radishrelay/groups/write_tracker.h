#ifndef RADISHRELAY_GROUPS_WRITE_TRACKER_H
#define RADISHRELAY_GROUPS_WRITE_TRACKER_H

#include "radishrelay/groups/acknowledgement_strategy.h"
#include "radishrelay/groups/write_action.h"
#include "radishrelay/groups/write_event.h"

#include <memory>

namespace radishrelay::groups {

/// Timing of the status calls that write_tracker makes while writes wait for
/// their acknowledgement.
struct write_tracker_options {
  /// Minimum time between two status calls to one instance. All writes that
  /// commit in between share the next call.
  base::duration MinCallInterval = std::chrono::milliseconds(2);
  /// Time after a call within which its answer must arrive, and for which the
  /// status in the answer counts.
  base::duration CallTimeout = std::chrono::milliseconds(200);
  /// Maximum number of unanswered calls to one instance. It reduces the rate of
  /// calls to an instance that does not answer.
  std::uint32_t MaxUnansweredCalls = 8;
};

/// Decides the outcome of writes that the primary of one database group has
/// committed: acknowledged, or unknown. Requests the statuses that its strategy
/// needs. A state machine without input and output of its own.
class write_tracker {
public:
  write_tracker(write_tracker_options Options,
                std::shared_ptr<const acknowledgement_strategy> Strategy,
                const std::vector<base::instance_id> &Instances);

  /// Processes \p Event, which occurred at \p Now, and returns the actions for
  /// the caller to carry out. Each committed write gets exactly one outcome.
  std::vector<write_action> handle(const write_event &Event,
                                   base::time_point Now);

  /// Returns the time at which the caller has to deliver time_passed; empty
  /// while no write waits.
  [[nodiscard]] std::optional<base::time_point> nextWake() const;

  /// Returns the number of writes without an outcome.
  [[nodiscard]] std::size_t waiting() const { return Writes.size(); }

  [[nodiscard]] base::json dump() const;

private:
  struct call_state {
    base::time_point LastCallAt;
    /// Deadlines of the unanswered calls, in ascending order.
    std::vector<base::time_point> Unanswered;
  };

  void on(const committed_write &Write);
  void on(const instance_answer &Answer);
  void on(const term_lease &Lease);
  void on(const time_passed &) {}
  void decideWrites(base::time_point Now, std::vector<write_action> &Actions);
  void callInstances(base::time_point Now, std::vector<write_action> &Actions);
  [[nodiscard]] bool isStatusNeeded(const base::instance_id &Instance,
                                    base::time_point Now) const;
  [[nodiscard]] base::time_point nextCallAt(const call_state &State) const;

  write_tracker_options Options;
  std::shared_ptr<const acknowledgement_strategy> Strategy;
  status_table Statuses;
  term_lease Lease;
  std::vector<committed_write> Writes;
  std::map<base::instance_id, call_state> Calls;
};

} // namespace radishrelay::groups

#endif
