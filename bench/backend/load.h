#ifndef RADISHRELAY_BENCH_BACKEND_LOAD_H
#define RADISHRELAY_BENCH_BACKEND_LOAD_H

#include "radishrelay/backend/statement.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishrelay::bench {

/// A closed loop: each connection starts the next run once the previous one has
/// ended.
struct load {
  std::string Address;
  /// The statements of one run.
  std::vector<backend::statement> Statements;
  std::size_t Connections = 1;
  /// Runs over all connections.
  std::size_t Runs = 1;
};

} // namespace radishrelay::bench

#endif
