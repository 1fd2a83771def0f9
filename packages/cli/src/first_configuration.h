#ifndef RADISHRELAY_CLI_SRC_FIRST_CONFIGURATION_H
#define RADISHRELAY_CLI_SRC_FIRST_CONFIGURATION_H

#include "radishrelay/base/store_answer.h"
#include "radishrelay/fleet/configuration_document.h"

#include <string>

namespace radishrelay::cli {

/// Stores the first configuration of a fleet in the table service at
/// \p PlatformAddress, unless it already has one: then Conflict.
base::store_answer
storeFirstConfiguration(const std::string &PlatformAddress,
                        const fleet::configuration_document &Document);

} // namespace radishrelay::cli

#endif
