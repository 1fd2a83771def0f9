#ifndef RADISHRELAY_BENCH_BACKEND_THREAD_LOAD_H
#define RADISHRELAY_BENCH_BACKEND_THREAD_LOAD_H

#include "load.h"
#include "measurement.h"

namespace radishrelay::bench {

/// Runs the load through backend_thread. Throws std::runtime_error when a
/// statement fails.
measurement runThroughThread(const load &Load);

} // namespace radishrelay::bench

#endif
