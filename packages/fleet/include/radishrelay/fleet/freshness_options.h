#ifndef RADISHRELAY_FLEET_FRESHNESS_OPTIONS_H
#define RADISHRELAY_FLEET_FRESHNESS_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>

namespace radishrelay::fleet {

/// Bounds of freshness_evidence.
struct freshness_options {
  /// Keyed routes are served while the evidence is at most this old. A
  /// withdrawal must be in force within 3 s.
  base::duration MaxAge = std::chrono::seconds(3);
  /// A host counts as a witness only on evidence that is dated this long after
  /// its start, unless it read the store. Acknowledgements that its former
  /// incarnation gave have expired by then.
  base::duration RestartSilence = std::chrono::milliseconds(3500);
  /// Time between two rounds of questions.
  base::duration AskInterval = std::chrono::milliseconds(500);
  /// Evidence older than this makes a host ask two witnesses for theirs.
  base::duration AskSomeAge = std::chrono::milliseconds(900);
  /// Evidence older than this makes a host ask all witnesses.
  base::duration AskAllAge = std::chrono::milliseconds(1800);
};

} // namespace radishrelay::fleet

#endif
