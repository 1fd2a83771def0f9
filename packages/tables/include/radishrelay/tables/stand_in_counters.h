#ifndef RADISHRELAY_TABLES_STAND_IN_COUNTERS_H
#define RADISHRELAY_TABLES_STAND_IN_COUNTERS_H

#include <cstdint>

namespace radishrelay::tables {

/// What a stand-in platform executed since its start.
struct stand_in_counters {
  /// Requests that read a row, a table, an object or the host list.
  std::uint64_t Reads = 0;
  /// Transactions that took effect, and objects put.
  std::uint64_t Writes = 0;
  /// Transactions refused because a condition did not hold.
  std::uint64_t Conflicts = 0;

  friend bool operator==(const stand_in_counters &,
                         const stand_in_counters &) = default;
};

} // namespace radishrelay::tables

#endif
