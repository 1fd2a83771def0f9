#ifndef RADISHRELAY_GROUPS_CONNECTION_NUMBER_H
#define RADISHRELAY_GROUPS_CONNECTION_NUMBER_H

#include <cstdint>

namespace radishrelay::groups {

/// Identifies a backend connection; never reused within a process.
using connection_number = std::uint64_t;

} // namespace radishrelay::groups

#endif
