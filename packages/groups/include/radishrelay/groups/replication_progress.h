#ifndef RADISHRELAY_GROUPS_REPLICATION_PROGRESS_H
#define RADISHRELAY_GROUPS_REPLICATION_PROGRESS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"

#include <boost/circular_buffer.hpp>

#include <map>
#include <optional>

namespace radishrelay::groups {

/// Estimates when a replica will hold a log position, from the positions that
/// probes and writes have reported.
///
/// The replication delay of a replica is the time between the primary reaching
/// an offset and the replica reaching it. It is sampled only when a replica has
/// advanced, because an idle log gives no information about the delay.
class replication_progress {
public:
  /// Records that the primary was at \p Position at \p At.
  void observePrimary(const log_position &Position, base::time_point At);

  /// Records that a replica was at \p Position at \p At.
  void observeReplica(const base::instance_id &Instance,
                      const log_position &Position, base::time_point At);

  /// Discards the samples of an instance that was removed.
  void forget(const base::instance_id &Instance);

  /// Returns when \p Instance is expected to hold \p Position. The estimate is
  /// conservative and may lie in the past. Empty when the delay of \p Instance
  /// has not been sampled yet.
  [[nodiscard]] std::optional<base::time_point>
  expectedAt(const base::instance_id &Instance, const log_position &Position,
             base::time_point Now) const;

  [[nodiscard]] base::json dump() const;

private:
  struct primary_sample {
    log_position Position;
    base::time_point At;
  };

  struct replica_progress {
    log_position Position;
    base::time_point At;
    /// Smoothed delay and its mean deviation, in microseconds.
    std::optional<double> DelayUs;
    double DeviationUs = 0;
  };

  [[nodiscard]] std::optional<base::time_point>
  primaryReachedAt(const log_position &Position) const;
  void sampleDelay(replica_progress &Replica, const log_position &Position,
                   base::time_point At);

  static constexpr std::size_t SampleCapacity = 128;
  boost::circular_buffer<primary_sample> PrimarySamples{SampleCapacity};
  std::map<base::instance_id, replica_progress> Replicas;
};

} // namespace radishrelay::groups

#endif
