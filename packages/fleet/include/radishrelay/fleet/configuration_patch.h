#ifndef RADISHRELAY_FLEET_CONFIGURATION_PATCH_H
#define RADISHRELAY_FLEET_CONFIGURATION_PATCH_H

#include "radishrelay/fleet/configuration_document.h"
#include "radishrelay/fleet/patch_operation.h"

#include <vector>

namespace radishrelay::fleet {

/// Operations that are applied atomically, in order.
using configuration_patch = std::vector<patch_operation>;

/// Parses an array of operations {"operation":NAME,…}. Errors refer to members
/// as operations[N].member.
base::expected<configuration_patch, configuration_errors>
parsePatch(const base::json &Operations);

/// Inverse of parsePatch. The result contains the secrets of session keys.
base::json formatPatch(const configuration_patch &Patch);

/// Returns the document of the next version. If an operation cannot be applied,
/// or the resulting document is invalid, returns the errors instead.
base::expected<configuration_document, configuration_errors>
applyPatch(const configuration_document &Document,
           const configuration_patch &Patch);

} // namespace radishrelay::fleet

#endif
