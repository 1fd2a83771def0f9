#ifndef RADISHRELAY_GROUPS_WRITE_TRACKER_H
#define RADISHRELAY_GROUPS_WRITE_TRACKER_H

#include "radishrelay/groups/acknowledgement_strategy.h"
#include "radishrelay/groups/write_action.h"
#include "radishrelay/groups/write_event.h"

#include <memory>

namespace radishrelay::groups {

/// Pacing of the status calls while writes wait.
struct write_tracker_options {
  /// Least time between two status calls to one instance; all writes committed
  /// in between share the next call.
  base::duration MinCallInterval = std::chrono::milliseconds(2);
  /// Time that an instance has for an answer, and that evidence is used.
  base::duration CallTimeout = std::chrono::milliseconds(200);
  /// Calls to one instance that may be unanswered at once, so that a silent
  /// instance is not asked at the full pace.
  std::uint32_t MaxUnansweredCalls = 8;
};

/// Decides the outcome of the committed writes of one database group.
class write_tracker {
public:
  write_tracker(write_tracker_options Options,
                std::shared_ptr<const acknowledgement_strategy> Strategy,
                const std::vector<base::instance_id> &Instances);

  /// Takes an event at \p Now and returns what is to be done. Each write that
  /// was committed gets exactly one outcome.
  std::vector<write_action> handle(const write_event &Event,
                                   base::time_point Now);

  /// When time_passed is to be delivered; empty while no write waits.
  [[nodiscard]] std::optional<base::time_point> nextWake() const;

  [[nodiscard]] std::size_t waiting() const { return Writes.size(); }

  [[nodiscard]] base::json dump() const;

private:
  struct call_state {
    base::time_point LastCallAt;
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
