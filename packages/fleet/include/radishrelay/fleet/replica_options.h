#ifndef RADISHRELAY_FLEET_REPLICA_OPTIONS_H
#define RADISHRELAY_FLEET_REPLICA_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/freshness_options.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::fleet {

/// Timing and cache size of a configuration_replica.
struct replica_options {
  freshness_options Freshness;
  /// Time between two reads of the version row by a host that polls the store.
  base::duration StorePollInterval = std::chrono::milliseconds(500);
  /// Time after which an unanswered request to a peer or to the store is
  /// abandoned and another may be sent.
  base::duration AnswerTimeout = std::chrono::seconds(1);
  /// Number of patches kept for peers that request a delta. A fleet has about
  /// 1,400 changes a day; a peer that missed more versions than are kept
  /// receives the whole document.
  std::size_t MaxRecentPatches = 64;
};

} // namespace radishrelay::fleet

#endif
