#ifndef RADISHRELAY_FLEET_REPLICA_OPTIONS_H
#define RADISHRELAY_FLEET_REPLICA_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/freshness_options.h"

#include <chrono>
#include <cstddef>

namespace radishrelay::fleet {

/// Bounds of a configuration_replica.
struct replica_options {
  freshness_options Freshness;
  /// Time between two reads of the version from the store by a witness.
  base::duration StorePollInterval = std::chrono::milliseconds(500);
  /// Time that a peer or the store has to answer before another is asked.
  base::duration AnswerTimeout = std::chrono::seconds(1);
  /// Patches kept for peers that ask for a delta. A day has 1,400 changes; a
  /// peer that missed more than this many takes the whole document.
  std::size_t KeptPatches = 64;
};

} // namespace radishrelay::fleet

#endif
