#ifndef RADISHRELAY_GROUPS_LOG_POSITION_H
#define RADISHRELAY_GROUPS_LOG_POSITION_H

#include <compare>
#include <cstdint>

namespace radishrelay::groups {

/// Number of a primary's reign in a database group; each has one primary.
using term_number = std::uint64_t;

/// Number of log entries from the start of the log.
using log_offset = std::uint64_t;

/// A place in the log of a database group, ordered by term, then offset.
struct log_position {
  term_number Term = 0;
  log_offset Offset = 0;

  friend auto operator<=>(const log_position &, const log_position &) = default;
};

} // namespace radishrelay::groups

#endif
