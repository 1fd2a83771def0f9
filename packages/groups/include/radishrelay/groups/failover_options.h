#ifndef RADISHRELAY_GROUPS_FAILOVER_OPTIONS_H
#define RADISHRELAY_GROUPS_FAILOVER_OPTIONS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishrelay::groups {

/// Identity and timing of one host's part in the failover of one group.
struct failover_options {
  base::group_id Group;
  std::vector<base::instance_id> Instances;
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  /// Distinguishes restarts of the host; a restarted promoter owns no term of
  /// its predecessor.
  std::string Incarnation;

  /// Time between probes of an instance while the primary is well.
  base::duration ProbeInterval = std::chrono::milliseconds(200);
  /// The same while the primary is suspected or unknown.
  base::duration UrgentProbeInterval = std::chrono::milliseconds(50);
  base::duration ProbeTimeout = std::chrono::milliseconds(200);
  /// Consecutive failed probes before the primary is suspected; with one, a
  /// single slow probe would start a failover.
  std::uint32_t FailedProbeThreshold = 2;
  /// How long a received promotion_vote counts.
  base::duration VoteLifetime = std::chrono::seconds(1);

  /// Upper bound of the random delay before a promoter starts, so that hosts
  /// which suspect together seldom race for the term.
  base::duration MaxStartDelay = std::chrono::milliseconds(50);
  base::duration StoreTimeout = std::chrono::milliseconds(300);
  base::duration CallTimeout = std::chrono::milliseconds(200);
  /// Time for raise and promotion; afterwards another term is needed.
  base::duration AttemptTimeout = std::chrono::milliseconds(800);
  /// How long another promoter's unfinished term is respected.
  base::duration TakeoverDelay = std::chrono::milliseconds(500);
  base::duration InitialBackoff = std::chrono::milliseconds(50);
  base::duration MaxBackoff = std::chrono::seconds(2);
  std::uint32_t RetryBurst = 10;
  base::duration RetryInterval = std::chrono::milliseconds(500);

  /// Duration of a term lease, for the strategy that uses one.
  base::duration LeaseDuration = std::chrono::seconds(3);
  /// Added before a lease counts as ended, for clocks of different speed.
  base::duration LeaseMargin = std::chrono::milliseconds(500);
};

} // namespace radishrelay::groups

#endif
