#ifndef RADISHRELAY_CLI_SRC_ADMISSION_WINDOW_H
#define RADISHRELAY_CLI_SRC_ADMISSION_WINDOW_H

#include "radishrelay/base/monotonic_clock.h"

#include <vector>

namespace radishrelay::cli {

/// The time in which a request was admitted at an unknown moment.
struct admission_interval {
  base::duration Sent{};
  base::duration Done{};

  friend bool operator==(const admission_interval &,
                         const admission_interval &) = default;
};

/// Largest value of n - rate * w over all windows, where n requests were sent
/// and answered within a window of length w. A value above the burst proves an
/// admission above rate and burst. Takes O(n log n).
double largestWindowExcess(const std::vector<admission_interval> &Admitted,
                           double RatePerSecond);

} // namespace radishrelay::cli

#endif
