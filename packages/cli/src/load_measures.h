#ifndef RADISHRELAY_CLI_SRC_LOAD_MEASURES_H
#define RADISHRELAY_CLI_SRC_LOAD_MEASURES_H

#include "history_checker.h"
#include "score_weights.h"

#include "radishrelay/base/latency_summary.h"

namespace radishrelay::cli {

/// What one client account offered and received.
struct account_measures {
  std::string Name;
  std::uint64_t Offered = 0;
  /// Offered requests that a bucket of the account's rate and burst admits.
  std::uint64_t WithinRate = 0;
  std::uint64_t Answered = 0;
  /// Requests that did not succeed beyond those that had to be refused.
  std::uint64_t RefusedWithinRate = 0;

  /// Answered requests per request within the rate, at most 1.
  [[nodiscard]] double served() const;
};

/// The measures of a run.
struct load_measures {
  std::uint64_t Requests = 0;
  std::uint64_t Succeeded = 0;
  /// Requests sent late because all connections waited for answers.
  std::uint64_t SentLate = 0;
  std::map<std::string, std::uint64_t> Errors;
  base::latency_summary Reads;
  base::latency_summary Writes;
  /// Share of the successful reads that accept an age and came from replicas.
  double ReplicaShare = 0;
  /// Longest interval without an acknowledged write of each group.
  std::vector<base::duration> WriteGaps;
  std::vector<account_measures> Accounts;

  [[nodiscard]] base::duration longestWriteGap() const;
  /// Smallest account_measures::served().
  [[nodiscard]] double worstServed() const;
  /// Refusals within the rate per request within the rate.
  [[nodiscard]] double refusalShare() const;
};

/// Computes the measures of a run of \p Length against \p Groups groups.
load_measures measureLoad(const load_history &History, std::size_t Groups,
                          base::duration Length);

/// Weighted score from 0 to 1. A write gap of 10 s and 1% of refusals within
/// the rate give 0 for their part.
double scoreOf(const load_measures &Measures, const score_weights &Weights);

} // namespace radishrelay::cli

#endif
