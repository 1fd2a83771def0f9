#ifndef RADISHRELAY_CLI_SRC_FREE_PORT_H
#define RADISHRELAY_CLI_SRC_FREE_PORT_H

#include <cstdint>

namespace radishrelay::cli {

/// A port on 127.0.0.1 that nothing listens on. The settings of all hosts name
/// each other's ports, so they must be known before the hosts start. Not
/// thread-safe.
std::uint16_t findFreePort();

} // namespace radishrelay::cli

#endif
