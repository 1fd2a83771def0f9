#ifndef RADISHRELAY_GROUPS_READ_ROUTER_OPTIONS_H
#define RADISHRELAY_GROUPS_READ_ROUTER_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstdint>

namespace radishrelay::groups {

/// Settings of a read router.
struct read_router_options {
  /// Added to the cost of a read on the primary, so that the primary keeps its
  /// capacity for writes. It is also the longest wait for a replica that is
  /// preferred to the primary. A lower value sends fewer reads to replicas at a
  /// replication lag of 100 ms; a higher one delays reads at a lag of 500 ms
  /// (docs/reads.md).
  base::duration PrimarySurcharge = std::chrono::milliseconds(100);
  /// An instance whose last status is older than this is not used.
  base::duration EvidenceLifetime = std::chrono::seconds(3);
  /// Time until the next choice when no instance is known that can serve the
  /// read.
  base::duration ReevaluationDelay = std::chrono::milliseconds(20);
  /// After this number of failed checks positions are no longer estimated: the
  /// read runs on an instance whose reported status contains the position, or
  /// on the primary.
  std::uint32_t MaxFailedChecks = 3;

  friend bool operator==(const read_router_options &,
                         const read_router_options &) = default;
};

} // namespace radishrelay::groups

#endif
