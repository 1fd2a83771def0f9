#ifndef RADISHRELAY_GROUPS_READ_ROUTER_OPTIONS_H
#define RADISHRELAY_GROUPS_READ_ROUTER_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstdint>

namespace radishrelay::groups {

/// Settings of a read router.
struct read_router_options {
  /// Added to the cost of the primary, so that it keeps its capacity for
  /// writes. It is also the longest wait that is preferred to the primary: less
  /// lowers the share of replicas at 100 ms of lag, more delays reads at 500 ms
  /// (docs/reads.md).
  base::duration PrimarySurcharge = std::chrono::milliseconds(100);
  /// An instance without more recent evidence is taken for unreachable.
  base::duration EvidenceLifetime = std::chrono::seconds(3);
  /// Wait for new evidence when no instance is known to serve the read.
  base::duration ReconsiderAfter = std::chrono::milliseconds(20);
  /// Failed checks after which only proven positions and the primary count.
  std::uint32_t MaxFailedChecks = 3;

  friend bool operator==(const read_router_options &,
                         const read_router_options &) = default;
};

} // namespace radishrelay::groups

#endif
