#ifndef RADISHRELAY_SESSIONS_ENGINE_OPTIONS_H
#define RADISHRELAY_SESSIONS_ENGINE_OPTIONS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::sessions {

/// Identity, time limits and other bounds of one host's session engine.
struct engine_options {
  base::host_id Host;
  base::failure_domain_id Domain;
  /// Distinguishes this run of the host from earlier ones.
  std::string Incarnation;
  /// Address to which other hosts send datagrams, "IP:port".
  std::string PeerAddress;
  std::uint64_t RandomSeed = 1;
  /// Region of each failure domain.
  std::map<base::failure_domain_id, base::region_id> Regions;

  /// Time after its proof during which a primary may be read from. A promotion
  /// waits as long after fencing, so a longer lease lengthens the interruption
  /// of writes during a failover, and a shorter one needs more frequent proofs.
  base::duration LeaseDuration = std::chrono::milliseconds(700);
  /// Added to the lease by the promoter to allow for clocks that run at
  /// different speeds: 5% of the lease.
  base::duration LeaseMargin = std::chrono::milliseconds(35);

  /// Time limit for opening a connection: twenty times the 12 ms that an idle
  /// instance takes.
  base::duration OpenTimeout = std::chrono::milliseconds(250);
  /// Time limit for a status call; an idle instance answers within 5 ms.
  base::duration StatusTimeout = std::chrono::milliseconds(200);
  /// Minimum time between two probes of a group whose primary is not proved.
  base::duration ProbeInterval = std::chrono::milliseconds(100);
  /// Time after which an unanswered read is tried on another instance, since
  /// its answer may be lost: three times the maximum latency that callers
  /// accept.
  base::duration ReadAttemptTimeout = std::chrono::milliseconds(600);
  /// Delay before a request that an instance rejected as busy is sent again.
  base::duration BusyRetryDelay = std::chrono::milliseconds(15);
  /// Maximum wait for a new primary after the platform has been asked to
  /// promote it: the time that such an order takes to become effective.
  base::duration PromotionTimeout = std::chrono::milliseconds(500);

  /// Time for which a primary has to be unresponsive before hosts vote for a
  /// promotion: twice the time that an instance takes to serve a full queue.
  base::duration VoteDelay = std::chrono::milliseconds(300);
  /// Time for which a received vote counts.
  base::duration VoteLifetime = std::chrono::milliseconds(2500);
  /// Time between two votes of a host.
  base::duration VoteInterval = std::chrono::milliseconds(400);
  /// Time for which an instance that is no longer listed still counts as a
  /// member of its group, since it may hold commits and come back.
  base::duration UnlistedLifetime = std::chrono::seconds(8);

  /// Interval at which a host renews its row in the members table.
  base::duration MemberInterval = std::chrono::seconds(8);
  /// Time after which a member whose row is not renewed is removed. Longer than
  /// ShareLifetime, so that the member has stopped using its share by then, and
  /// more than twice the longest expected outage of the store.
  base::duration MemberLifetime = std::chrono::seconds(40);
  /// Time since its last renewal after which a host stops using its share.
  base::duration ShareLifetime = std::chrono::seconds(30);
  /// Time that a new member waits before it uses its share, so that the other
  /// hosts have read its row.
  base::duration NewMemberDelay = std::chrono::seconds(9);

  /// Minimum time between the announcement that an instance leaves and its
  /// termination.
  base::duration LeavingDuration = std::chrono::seconds(7);
  /// Time after an instance was first seen leaving during which it may be given
  /// new work.
  base::duration LeavingUsePeriod = std::chrono::milliseconds(4500);
  /// Time from the operators' request to evacuate a failure domain within which
  /// statements may still reach its instances.
  base::duration EvacuationDuration = std::chrono::seconds(5);
  /// The limit of a cold instance is ColdRatePerSecond times ColdOverage plus
  /// ColdSlack statements in any second.
  double ColdOverage = 1;
  double ColdSlack = 0;
  /// Time that the load balancer takes to notice that the host is not ready.
  /// Idle sessions stay open for as long, so that their clients do not
  /// reconnect to this host.
  base::duration BalancerDelay = std::chrono::milliseconds(2200);
  /// Time from the start of a graceful shutdown for open transactions to end.
  base::duration TransactionDrainTimeout = std::chrono::milliseconds(3100);
  /// Time from the start of a graceful shutdown for running statements to end.
  base::duration StatementDrainTimeout = std::chrono::milliseconds(5000);

  /// Fraction of an instance's connections that no host plans to use; they are
  /// left for fence calls and for hosts that have just joined.
  double ConnectionReserve = 0.1;

  friend bool operator==(const engine_options &,
                         const engine_options &) = default;
};

} // namespace radishrelay::sessions

#endif
