#ifndef RADISHRELAY_TABLES_STAND_IN_COUNTERS_H
#define RADISHRELAY_TABLES_STAND_IN_COUNTERS_H

#include <cstdint>

namespace radishrelay::tables {

/// Numbers of requests that a stand-in platform has executed since its start.
struct stand_in_counters {
  /// Requests that read a row, a table, an object or the host list.
  std::uint64_t Reads = 0;
  /// Transactions that were applied, and objects that were put.
  std::uint64_t Writes = 0;
  /// Transactions rejected because a condition did not hold.
  std::uint64_t Conflicts = 0;

  friend bool operator==(const stand_in_counters &,
                         const stand_in_counters &) = default;
};

} // namespace radishrelay::tables

#endif
