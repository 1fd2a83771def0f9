#ifndef RADISHRELAY_FLEET_ASK_VERSION_H
#define RADISHRELAY_FLEET_ASK_VERSION_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <cstdint>

namespace radishrelay::fleet {

/// Action: send a version query to \p Host and pass its evidence_answer back
/// with \p Sequence.
struct ask_version {
  base::host_id Host;
  std::uint64_t Sequence = 0;

  friend auto operator<=>(const ask_version &, const ask_version &) = default;
};

} // namespace radishrelay::fleet

#endif
