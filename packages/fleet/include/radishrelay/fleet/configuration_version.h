#ifndef RADISHRELAY_FLEET_CONFIGURATION_VERSION_H
#define RADISHRELAY_FLEET_CONFIGURATION_VERSION_H

#include <cstdint>

namespace radishrelay::fleet {

/// Version number of the configuration; 0 means that there is none yet. Each
/// accepted patch increments it by one.
using configuration_version = std::uint64_t;

} // namespace radishrelay::fleet

#endif
