#ifndef RADISHRELAY_BENCH_STORE_OUTAGE_MEASURES_H
#define RADISHRELAY_BENCH_STORE_OUTAGE_MEASURES_H

#include <cstdint>

namespace radishrelay::bench {

/// Writes during a store outage of ten seconds with a healthy primary.
struct store_outage_measures {
  std::uint64_t Started = 0;
  std::uint64_t Acknowledged = 0;
};

} // namespace radishrelay::bench

#endif
