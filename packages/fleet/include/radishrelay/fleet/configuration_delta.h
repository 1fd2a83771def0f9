#ifndef RADISHRELAY_FLEET_CONFIGURATION_DELTA_H
#define RADISHRELAY_FLEET_CONFIGURATION_DELTA_H

#include "radishrelay/fleet/configuration_patch.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::fleet {

/// Response to configuration_since: the patches between two versions, or the
/// whole document when the responding host no longer has all of the patches.
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

/// Inverse of parseDelta. The result contains the secrets of session keys.
base::json formatDelta(const configuration_delta &Delta);
/// Returns errors for a value that is not a delta, or whose patches or document
/// are invalid. The digest is not verified here.
base::expected<configuration_delta, configuration_errors>
parseDelta(const base::json &Value);

} // namespace radishrelay::fleet

#endif
