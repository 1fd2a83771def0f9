#ifndef RADISHRELAY_BASE_BACKOFF_H
#define RADISHRELAY_BASE_BACKOFF_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/random_generator.h"

namespace radishrelay::base {

/// Exponential backoff with full jitter: the wait before attempt n is uniform
/// in [0, min(MaxWait, InitialWait * 2^n)], so that hosts that failed at the
/// same time do not retry at the same time.
class backoff {
public:
  /// \p InitialWait is the upper bound of the first wait, \p MaxWait that of
  /// every wait.
  backoff(duration InitialWait, duration MaxWait)
      : InitialWait(InitialWait), MaxWait(MaxWait) {}

  /// Returns the time of the next attempt and doubles the bound.
  time_point next(time_point Now, random_generator &Random);

  /// Resets the bound to InitialWait. Callers do so after a success.
  void reset() { Attempts = 0; }

  [[nodiscard]] json dump() const;

private:
  [[nodiscard]] duration bound() const;

  duration InitialWait;
  duration MaxWait;
  std::uint32_t Attempts = 0;
};

} // namespace radishrelay::base

#endif
