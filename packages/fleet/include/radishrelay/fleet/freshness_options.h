#ifndef RADISHRELAY_FLEET_FRESHNESS_OPTIONS_H
#define RADISHRELAY_FLEET_FRESHNESS_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>

namespace radishrelay::fleet {

/// Time limits of freshness_evidence.
struct freshness_options {
  /// Maximum age of the evidence on which keyed routes are served. The
  /// withdrawal of a key must take effect on all hosts within 3 s.
  base::duration MaxAge = std::chrono::seconds(3);
  /// A restarted host counts towards a majority of the witnesses once it has
  /// evidence dated at least this long after its start, or has read the store.
  /// Acknowledgements of its previous incarnation have expired by then.
  base::duration RestartConfirmationDelay = std::chrono::milliseconds(3500);
  /// Minimum time between two rounds of version queries.
  base::duration QueryInterval = std::chrono::milliseconds(500);
  /// Age of the evidence from which a host queries two witnesses for their
  /// evidence.
  base::duration QuerySomeAge = std::chrono::milliseconds(900);
  /// Age of the evidence from which a host queries all witnesses.
  base::duration QueryAllAge = std::chrono::milliseconds(1800);
};

} // namespace radishrelay::fleet

#endif
