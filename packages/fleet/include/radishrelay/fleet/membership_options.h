#ifndef RADISHRELAY_FLEET_MEMBERSHIP_OPTIONS_H
#define RADISHRELAY_FLEET_MEMBERSHIP_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::fleet {

/// Bounds of a membership.
struct membership_options {
  /// Three heartbeats a second, each to another member.
  base::duration PingInterval = std::chrono::microseconds(333'333);
  /// Time for a direct acknowledgement before indirect probes.
  base::duration AckTimeout = std::chrono::milliseconds(300);
  /// Time for a direct or relayed acknowledgement before suspicion.
  base::duration ProbeTimeout = std::chrono::milliseconds(900);
  /// Members that probe on this host's behalf.
  std::size_t IndirectProbes = 2;
  /// Time in which a suspected host can refute.
  base::duration SuspicionTimeout = std::chrono::seconds(3);
  base::duration SummaryInterval = std::chrono::seconds(1);
  /// Members of another domain are suspected after this long without a
  /// summary of it.
  base::duration SummaryTimeout = std::chrono::seconds(5);
  /// A member that is gone is forgotten after this time.
  base::duration ForgetTimeout = std::chrono::minutes(10);
  /// A host that started less than this ago does not spread the live members
  /// that it learns of, as the others know them.
  base::duration JoinTime = std::chrono::seconds(10);
  /// Each update is sent this often times the logarithm of the group's size.
  std::size_t RepeatFactor = 3;
  /// Members of the whole list that a summary carries besides changes.
  std::size_t SummaryPage = 8;
};

} // namespace radishrelay::fleet

#endif
