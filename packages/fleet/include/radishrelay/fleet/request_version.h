#ifndef RADISHRELAY_FLEET_REQUEST_VERSION_H
#define RADISHRELAY_FLEET_REQUEST_VERSION_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <cstdint>

namespace radishrelay::fleet {

/// Action of freshness_evidence: send a version_query to \p Host. The caller
/// passes the reply to freshness_evidence::onAnswer with the same \p Sequence.
struct request_version {
  base::host_id Host;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const request_version &,
                          const request_version &) = default;
};

} // namespace radishrelay::fleet

#endif
