#ifndef RADISHRELAY_BENCH_READS_SESSION_SCENARIO_H
#define RADISHRELAY_BENCH_READS_SESSION_SCENARIO_H

#include "deployment.h"

#include "radishrelay/groups/read_router_options.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishrelay::bench {

/// How reads are sent to instances.
enum class read_policy {
  Router,
  PrimaryOnly,
  /// Reads go to the primary for a fixed time after a write.
  StickySessions,
  /// Same for twice the lag, which the operator would have to know.
  StickyTwiceLag,
};

/// Settings of one run of sessions that read and write.
struct session_settings {
  deployment Deployment;
  read_policy Policy = read_policy::Router;
  base::duration Lag{};
  /// Writes are acknowledged by a majority, else as soon as the primary has
  /// committed.
  bool NeedsMajority = true;
  /// Cost that the router adds to the primary.
  base::duration PrimarySurcharge =
      groups::read_router_options().PrimarySurcharge;
  std::uint64_t Seed = 1;
};

/// What was seen in one run.
struct session_result {
  std::uint64_t Reads = 0;
  std::uint64_t ReplicaReads = 0;
  /// Reads that did not see a write acknowledged to the same session before.
  std::uint64_t StaleReads = 0;
  std::uint64_t RefusedReads = 0;
  /// Runs whose result was discarded by the check.
  std::uint64_t RepeatedRuns = 0;
  std::uint64_t Writes = 0;
  /// From the client and back.
  std::vector<base::duration> ReadLatencies;
};

session_result runSessions(const session_settings &Settings);

/// Adds the counts and latencies of \p More to \p Sum.
void addResult(session_result &Sum, const session_result &More);

} // namespace radishrelay::bench

#endif
