#ifndef RADISHRELAY_GROUPS_PROBE_SCHEDULE_H
#define RADISHRELAY_GROUPS_PROBE_SCHEDULE_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/instance_answer.h"

#include <map>
#include <optional>

namespace radishrelay::groups {

/// Schedules one host's probes (status calls) of the instances of a database
/// group. At most one probe per instance is pending.
class probe_schedule {
public:
  explicit probe_schedule(const failover_options &Options);

  /// Ends the probe that \p Answer belongs to. Returns false when that probe
  /// has ended before or the answer belongs to another call.
  bool finish(const instance_answer &Answer, base::time_point Now);

  /// Ends the probes whose deadline has passed and returns their instances.
  std::vector<base::instance_id> expire(base::time_point Now);

  /// Starts the probes that are due and returns their calls. \p Urgent selects
  /// the shorter interval.
  std::vector<instance_call> start(bool Urgent, base::time_point Now);

  /// Returns the next time at which a probe is due or expires.
  [[nodiscard]] base::time_point nextWake(bool Urgent) const;

  [[nodiscard]] base::json dump() const;

private:
  struct probe_state {
    base::time_point LastStart = base::time_point::min();
    /// Deadline of the pending probe; empty if none is pending.
    std::optional<base::time_point> Deadline;
    /// True when the previous probe failed. The next one then follows after
    /// the urgent interval, because consecutive failures decide on a failover.
    bool HasFailed = false;
  };

  [[nodiscard]] base::time_point dueAt(const probe_state &State,
                                       bool Urgent) const;

  failover_options Options;
  std::map<base::instance_id, probe_state> Probes;
};

} // namespace radishrelay::groups

#endif
