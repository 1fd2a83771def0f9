#ifndef RADISHRELAY_FLEET_EVIDENCE_ANSWER_H
#define RADISHRELAY_FLEET_EVIDENCE_ANSWER_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/configuration_version.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace radishrelay::fleet {

/// What a host says of its configuration when it is asked. The host that asked
/// dates it by the time at which it sent the question.
struct evidence_answer {
  configuration_version Version = 0;
  /// First 64 bits of the digest of the document.
  std::uint64_t Digest = 0;
  /// True when the host has had evidence of its own since it started; only
  /// then it counts as a witness.
  bool Confirmed = false;
  /// Age of the host's own evidence when it answered; empty when it has none.
  std::optional<base::duration> EvidenceAge;

  friend auto operator<=>(const evidence_answer &,
                          const evidence_answer &) = default;
};

} // namespace radishrelay::fleet

#endif
