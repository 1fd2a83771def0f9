#ifndef RADISHRELAY_FLEET_CONFIGURATION_DELTA_H
#define RADISHRELAY_FLEET_CONFIGURATION_DELTA_H

#include "radishrelay/fleet/configuration_patch.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::fleet {

/// Answer to configuration_since: patches from one version to another, or the
/// whole document when the patches are not at hand.
struct configuration_delta {
  configuration_version From = 0;
  configuration_version To = 0;
  std::vector<configuration_patch> Patches;
  std::optional<configuration_document> Document;
  /// Digest of the document at version To.
  std::string Digest;

  friend bool operator==(const configuration_delta &,
                         const configuration_delta &) = default;
};

base::json formatDelta(const configuration_delta &Delta);
base::expected<configuration_delta, configuration_errors>
parseDelta(const base::json &Value);

} // namespace radishrelay::fleet

#endif
