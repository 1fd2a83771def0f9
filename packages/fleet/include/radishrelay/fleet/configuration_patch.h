#ifndef RADISHRELAY_FLEET_CONFIGURATION_PATCH_H
#define RADISHRELAY_FLEET_CONFIGURATION_PATCH_H

#include "radishrelay/fleet/configuration_document.h"
#include "radishrelay/fleet/patch_operation.h"

#include <vector>

namespace radishrelay::fleet {

/// Operations that take effect together.
using configuration_patch = std::vector<patch_operation>;

/// Parses an array of operations {"operation":NAME,…}. Errors name the place
/// as operations[N].member.
base::expected<configuration_patch, configuration_errors>
parsePatch(const base::json &Operations);

/// Inverse of parsePatch. Holds the secrets of session keys.
base::json formatPatch(const configuration_patch &Patch);

/// Returns the document of the next version, validated as a whole, or all
/// errors. The given document is unchanged.
base::expected<configuration_document, configuration_errors>
applyPatch(const configuration_document &Document,
           const configuration_patch &Patch);

} // namespace radishrelay::fleet

#endif
