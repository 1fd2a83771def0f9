#ifndef RADISHRELAY_GROUPS_FAILOVER_OPTIONS_H
#define RADISHRELAY_GROUPS_FAILOVER_OPTIONS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishrelay::groups {

/// Identity and timing of the failover logic that one host runs for one
/// database group.
struct failover_options {
  base::group_id Group;
  std::vector<base::instance_id> Instances;
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  /// Differs after each restart of the host, so that a restarted promoter does
  /// not take a term that it claimed before the restart for its own.
  std::string Incarnation;

  /// Time between the starts of two probes of an instance while the primary can
  /// be used.
  base::duration ProbeInterval = std::chrono::milliseconds(200);
  /// Probe interval while the primary is suspected or unknown.
  base::duration UrgentProbeInterval = std::chrono::milliseconds(50);
  /// Time after which an unanswered probe counts as failed.
  base::duration ProbeTimeout = std::chrono::milliseconds(200);
  /// Consecutive failed probes after which the primary is suspected. With a
  /// threshold of 1, a single slow probe would start a failover.
  std::uint32_t FailedProbeThreshold = 2;
  /// Time for which a received vote counts after its arrival.
  base::duration VoteLifetime = std::chrono::seconds(1);

  /// Upper bound of the random delay before a promoter starts. The delay makes
  /// it unlikely that hosts which suspect the primary at the same time compete
  /// for the next term.
  base::duration MaxStartDelay = std::chrono::milliseconds(50);
  /// Time after which an unanswered call to the table service has an unknown
  /// outcome.
  base::duration StoreTimeout = std::chrono::milliseconds(300);
  /// Time for the answer to a raise, promotion or status call; raises and
  /// promotions are repeated after it.
  base::duration CallTimeout = std::chrono::milliseconds(200);
  /// Time for all raises and the promotion of one attempt. The attempt is
  /// abandoned afterwards, and the next one uses a new term.
  base::duration AttemptTimeout = std::chrono::milliseconds(800);
  /// Time for which another promoter's unfinished term is left alone before
  /// this promoter claims the next one; also the pause after its own promotion.
  base::duration TakeoverDelay = std::chrono::milliseconds(500);
  /// Bounds of the delay between failed attempts.
  base::duration InitialBackoff = std::chrono::milliseconds(50);
  base::duration MaxBackoff = std::chrono::seconds(2);
  /// Attempts that may start in quick succession; one more is allowed after
  /// each RetryInterval.
  std::uint32_t RetryBurst = 10;
  base::duration RetryInterval = std::chrono::milliseconds(500);

  /// Duration of a term lease, for strategies that use leases.
  base::duration LeaseDuration = std::chrono::seconds(3);
  /// Additional time before a lease of another host counts as expired, because
  /// clocks run at different speeds.
  base::duration LeaseMargin = std::chrono::milliseconds(500);
};

} // namespace radishrelay::groups

#endif
