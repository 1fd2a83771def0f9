#ifndef RADISHRELAY_FLEET_EVIDENCE_ANSWER_H
#define RADISHRELAY_FLEET_EVIDENCE_ANSWER_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/configuration_version.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace radishrelay::fleet {

/// A host's report of the configuration that it holds. It is sent in replies to
/// version queries and in heartbeats. The receiver dates it by the time at
/// which it sent the query.
struct evidence_answer {
  configuration_version Version = 0;
  /// First 64 bits of the digest of the configuration document.
  std::uint64_t Digest = 0;
  /// True if the host has had its own evidence since it started; see
  /// freshness_options::RestartConfirmationDelay. Only then does its answer
  /// count towards a majority of the witnesses.
  bool Confirmed = false;
  /// Age of the host's freshness evidence when it answered; empty if it has
  /// none.
  std::optional<base::duration> EvidenceAge;

  friend auto operator<=>(const evidence_answer &,
                          const evidence_answer &) = default;
};

} // namespace radishrelay::fleet

#endif
