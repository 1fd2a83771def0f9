#ifndef RADISHRELAY_SESSIONS_NUMBERS_H
#define RADISHRELAY_SESSIONS_NUMBERS_H

#include <cstdint>

namespace radishrelay::sessions {

/// Identifies a client's session; unique in the process.
enum class session_number : std::uint64_t {};

/// Identifies a connection to an instance; unique in the process.
enum class backend_number : std::uint64_t {};

/// Identifies a call to the platform's store; unique in the process.
enum class store_call_number : std::uint64_t {};

} // namespace radishrelay::sessions

#endif
