#ifndef RADISHRELAY_BENCH_BACKEND_BLOCKING_LOAD_H
#define RADISHRELAY_BENCH_BACKEND_BLOCKING_LOAD_H

#include "load.h"
#include "measurement.h"

namespace radishrelay::bench {

/// Runs the load through blocking libpq calls, one thread per connection.
/// Throws std::runtime_error when a statement fails.
measurement runBlocking(const load &Load);

} // namespace radishrelay::bench

#endif
