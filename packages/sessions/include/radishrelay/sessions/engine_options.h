#ifndef RADISHRELAY_SESSIONS_ENGINE_OPTIONS_H
#define RADISHRELAY_SESSIONS_ENGINE_OPTIONS_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <string>

namespace radishrelay::sessions {

/// Identity, timing and bounds of one host's session engine.
struct engine_options {
  base::host_id Host;
  base::failure_domain_id Domain;
  /// Distinguishes restarts of the host.
  std::string Incarnation;
  /// Where other hosts send datagrams, "IP:port".
  std::string PeerAddress;
  std::uint64_t RandomSeed = 1;

  /// How long after its proof a primary may be read from. A promotion waits as
  /// long after the fence, so the write gap of a failover grows with it, and
  /// the rate of proofs falls with it.
  base::duration LeaseDuration = std::chrono::milliseconds(700);
  /// Added by the promoter, for clocks that run at different speeds: 5% of the
  /// lease.
  base::duration LeaseMargin = std::chrono::milliseconds(35);

  /// A connection that takes longer to open counts as failed: twenty times the
  /// 12 ms that an idle instance takes.
  base::duration OpenTimeout = std::chrono::milliseconds(250);
  /// A status call that takes longer counts as failed; an idle instance
  /// answers within 5 ms.
  base::duration StatusTimeout = std::chrono::milliseconds(200);
  /// Shortest time between two probes of a group whose primary is not proved.
  base::duration ProbeInterval = std::chrono::milliseconds(100);
  /// A read that has no answer after this time is tried on another instance,
  /// since the answer may be lost: three times the latency that callers accept
  /// at most.
  base::duration ReadAttemptTimeout = std::chrono::milliseconds(600);
  /// Pause before a request that an instance rejected as busy is sent again.
  base::duration BusyRetryDelay = std::chrono::milliseconds(15);
  /// Longest wait for a primary that is being replaced: the time between the
  /// order of a promotion and its effect.
  base::duration PromotionTimeout = std::chrono::milliseconds(500);

  /// How long a primary may answer nothing before hosts vote for a promotion:
  /// twice the time in which a full queue of an instance is served.
  base::duration VoteDelay = std::chrono::milliseconds(300);
  /// How long a vote counts.
  base::duration VoteLifetime = std::chrono::milliseconds(2500);
  base::duration VoteInterval = std::chrono::milliseconds(400);
  /// An instance that is no longer listed counts as a member of its group for
  /// this long, since it may hold commits and come back.
  base::duration UnlistedLifetime = std::chrono::seconds(8);

  /// How often a host renews its row in the table of members.
  base::duration MemberInterval = std::chrono::seconds(8);
  /// A member whose row is not renewed for so long has ended its share before
  /// and is removed; more than twice the longest expected outage of the
  /// store.
  base::duration MemberLifetime = std::chrono::seconds(40);
  /// A host that could not renew its row for so long stops using its share.
  base::duration ShareLifetime = std::chrono::seconds(30);
  /// A new member uses its share after the others have read its row.
  base::duration NewMemberDelay = std::chrono::seconds(9);

  /// How long a leaving instance goes on at least before it ends.
  base::duration LeavingDuration = std::chrono::seconds(7);
  /// How long after an instance was first seen leaving it may get new work.
  base::duration LeavingUsePeriod = std::chrono::milliseconds(4500);
  /// Time in which the balancer notices that the host is not ready; idle
  /// sessions stay open for as long, so that they do not come back here.
  base::duration BalancerDelay = std::chrono::milliseconds(2200);
  /// Time for open transactions to end in a graceful shutdown.
  base::duration TransactionDrainTimeout = std::chrono::milliseconds(3100);
  /// Time for running statements to end in a graceful shutdown.
  base::duration StatementDrainTimeout = std::chrono::milliseconds(5000);

  /// Part of an instance's connections that no host counts on, for fences and
  /// for hosts that have just joined.
  double ConnectionReserve = 0.1;

  friend bool operator==(const engine_options &,
                         const engine_options &) = default;
};

} // namespace radishrelay::sessions

#endif
