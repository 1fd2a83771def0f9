#ifndef RADISHRELAY_GROUPS_LOG_POSITION_H
#define RADISHRELAY_GROUPS_LOG_POSITION_H

#include <compare>
#include <cstdint>

namespace radishrelay::groups {

/// Number of a term: a period in which a database group has at most one
/// primary. Each promotion starts a new term with a higher number.
using term_number = std::uint64_t;

/// Number of entries between the start of the log and a position in it.
using log_offset = std::uint64_t;

/// Position in the log of a database group. Positions are ordered by term, then
/// by offset.
struct log_position {
  term_number Term = 0;
  log_offset Offset = 0;

  friend auto operator<=>(const log_position &, const log_position &) = default;
};

} // namespace radishrelay::groups

#endif
