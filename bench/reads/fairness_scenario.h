#ifndef RADISHRELAY_BENCH_READS_FAIRNESS_SCENARIO_H
#define RADISHRELAY_BENCH_READS_FAIRNESS_SCENARIO_H

#include "deployment.h"

#include <cstdint>
#include <vector>

namespace radishrelay::bench {

/// Settings of one run of client accounts that compete for an instance.
struct fairness_settings {
  deployment Deployment;
  /// Fair queue, else one queue in the order of arrival.
  bool IsFair = true;
  /// Sum of the accounts' rates as a part of the instance's capacity.
  double Load = 0.9;
  /// Multiple of its rate that the first account sends.
  double Excess = 5;
  std::uint64_t Seed = 1;
};

/// What was seen in one run.
struct fairness_result {
  /// Served requests over the max-min fair share, of the account for which
  /// this is lowest.
  double WorstShare = 1;
  /// Same for the account that exceeds its rate.
  double ExcessShare = 1;
  /// Requests of the other accounts that were refused or expired.
  std::uint64_t Unserved = 0;
  std::uint64_t Served = 0;
};

fairness_result runFairness(const fairness_settings &Settings);

} // namespace radishrelay::bench

#endif
