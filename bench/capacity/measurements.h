#ifndef RADISHRELAY_BENCH_CAPACITY_MEASUREMENTS_H
#define RADISHRELAY_BENCH_CAPACITY_MEASUREMENTS_H

#include "slope.h"

namespace radishrelay::bench {

/// Memory per idle caller connection and threads, through caller_listener.
slopes measureListener();

/// Key verification, session tokens, read decisions, write acknowledgements
/// and queued requests.
slopes measureRequests();

/// Admission, ticks, memory and store traffic of account_limiter.
slopes measureLimits();

/// Probe answers and memory of database groups.
slopes measureGroups();

/// Adoption and memory of configurations; memory and work of membership.
slopes measureFleet();

/// Sealing of datagrams and bytes of JSON-RPC calls.
slopes measurePeers();

} // namespace radishrelay::bench

#endif
