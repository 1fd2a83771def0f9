#ifndef RADISHRELAY_CLI_SRC_SCORE_WEIGHTS_H
#define RADISHRELAY_CLI_SRC_SCORE_WEIGHTS_H

namespace radishrelay::cli {

/// Weights of the four measures in a user's score; their sum is 1.
struct score_weights {
  double WriteGap = 0;
  double Refusals = 0;
  double WorstServed = 0;
  double ReplicaShare = 0;

  friend bool operator==(const score_weights &,
                         const score_weights &) = default;
};

} // namespace radishrelay::cli

#endif
