#ifndef RADISHRELAY_FLEET_CONFIGURATION_VERSION_H
#define RADISHRELAY_FLEET_CONFIGURATION_VERSION_H

#include <cstdint>

namespace radishrelay::fleet {

/// Number of a configuration; 0 means that there is none yet. Each accepted
/// patch raises it by one.
using configuration_version = std::uint64_t;

} // namespace radishrelay::fleet

#endif
