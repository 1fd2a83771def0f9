#ifndef RADISHRELAY_BENCH_READS_DEPLOYMENT_H
#define RADISHRELAY_BENCH_READS_DEPLOYMENT_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace radishrelay::bench {

/// One of the organisations of the design page.
struct deployment {
  std::string Name;
  /// Requests that an instance runs at the same time.
  std::size_t Slots = 3;
  /// One way between failure domains.
  base::duration OneWay{};
  /// One way between clients and hosts.
  base::duration ClientOneWay = std::chrono::milliseconds(1);
};

inline deployment graniteLedger() {
  return {"Granite Ledger", 3, std::chrono::microseconds(1000)};
}

inline deployment ammanVane() {
  return {"Amman", 5, std::chrono::microseconds(1500)};
}

} // namespace radishrelay::bench

#endif
