#ifndef RADISHRELAY_GROUPS_CONNECTION_NUMBER_H
#define RADISHRELAY_GROUPS_CONNECTION_NUMBER_H

#include <cstdint>

namespace radishrelay::groups {

/// Number of a backend connection, never used twice in a process.
using connection_number = std::uint64_t;

} // namespace radishrelay::groups

#endif
