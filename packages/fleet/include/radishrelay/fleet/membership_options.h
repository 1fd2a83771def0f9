#ifndef RADISHRELAY_FLEET_MEMBERSHIP_OPTIONS_H
#define RADISHRELAY_FLEET_MEMBERSHIP_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::fleet {

/// Time and size limits of membership.
struct membership_options {
  /// Time between two heartbeats, which go to different members in turn. Gives
  /// three heartbeats per second.
  base::duration PingInterval = std::chrono::microseconds(333'333);
  /// Time without a direct acknowledgement after which other members are asked
  /// to probe the target.
  base::duration AckTimeout = std::chrono::milliseconds(300);
  /// Time without a direct or relayed acknowledgement after which the target is
  /// suspected.
  base::duration ProbeTimeout = std::chrono::milliseconds(900);
  /// Number of members that are asked to probe on this host's behalf.
  std::size_t IndirectProbeCount = 2;
  /// Time after which a suspected host that has not refuted the suspicion is
  /// regarded as gone.
  base::duration SuspicionTimeout = std::chrono::seconds(3);
  base::duration SummaryInterval = std::chrono::seconds(1);
  /// Time without a summary of another failure domain after which the domain is
  /// reported as unreachable.
  base::duration SummaryTimeout = std::chrono::seconds(5);
  /// Time after which a member that is gone is removed from the view.
  base::duration GoneRetention = std::chrono::minutes(10);
  /// Time after the start during which a host does not disseminate the live
  /// members that it discovers, since the other hosts know them already.
  base::duration JoinPeriod = std::chrono::seconds(10);
  /// Each update is sent this factor times the binary logarithm of the number
  /// of members.
  std::size_t SendsFactor = 3;
  /// Number of entries of the member list that a summary carries in addition to
  /// the recent changes.
  std::size_t SummaryPageMembers = 8;
};

} // namespace radishrelay::fleet

#endif
