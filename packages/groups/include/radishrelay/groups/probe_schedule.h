#ifndef RADISHRELAY_GROUPS_PROBE_SCHEDULE_H
#define RADISHRELAY_GROUPS_PROBE_SCHEDULE_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/instance_answer.h"

#include <map>
#include <optional>

namespace radishrelay::groups {

/// Paces one host's probes of the instances: one at a time per instance.
class probe_schedule {
public:
  explicit probe_schedule(const failover_options &Options);

  /// Ends the probe that \p Answer belongs to. False when the probe had ended
  /// before, or the answer is to another call.
  bool finish(const instance_answer &Answer, base::time_point Now);

  /// Ends the probes whose deadline has passed and returns their instances.
  std::vector<base::instance_id> expire(base::time_point Now);

  /// Returns the probes that are due; \p Urgent shortens the interval.
  std::vector<instance_call> start(bool Urgent, base::time_point Now);

  [[nodiscard]] base::time_point nextWake(bool Urgent) const;

  [[nodiscard]] base::json dump() const;

private:
  struct probe_state {
    base::time_point LastStart = base::time_point::min();
    /// Deadline of the probe that is under way.
    std::optional<base::time_point> Deadline;
    /// The previous probe failed: the next starts at once, since two
    /// consecutive ones decide.
    bool HasFailed = false;
  };

  [[nodiscard]] base::time_point dueAt(const probe_state &State,
                                       bool Urgent) const;

  failover_options Options;
  std::map<base::instance_id, probe_state> Probes;
};

} // namespace radishrelay::groups

#endif
