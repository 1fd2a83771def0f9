#ifndef RADISHRELAY_BENCH_FAILOVER_RUNS_H
#define RADISHRELAY_BENCH_FAILOVER_RUNS_H

#include "failover_case.h"
#include "failover_measures.h"
#include "store_outage_measures.h"

namespace radishrelay::bench {

/// Runs the case with each seed from 1 to \p Seeds, in virtual time. The
/// replication lag varies from 1 to 100 ms with the seed.
failover_measures runFailovers(const failover_case &Case, std::uint64_t Seeds);

/// Runs a store outage without another failure.
store_outage_measures runStoreOutages(const failover_case &Case,
                                      std::uint64_t Seeds);

} // namespace radishrelay::bench

#endif
