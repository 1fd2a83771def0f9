#ifndef RADISHRELAY_BASE_BACKOFF_H
#define RADISHRELAY_BASE_BACKOFF_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/base/random_generator.h"

namespace radishrelay::base {

/// Exponential backoff with full jitter: the wait before attempt n is uniform
/// in [0, min(Cap, Base * 2^n)], so that hosts that failed together do not
/// retry together.
class backoff {
public:
  /// \p First bounds the first wait, \p Cap each wait.
  backoff(duration First, duration Cap) : First(First), Cap(Cap) {}

  /// Returns the time of the next attempt and doubles the bound.
  time_point next(time_point Now, random_generator &Random);

  /// Starts again with the first bound, after a success.
  void reset() { Attempts = 0; }

  [[nodiscard]] json dump() const;

private:
  [[nodiscard]] duration bound() const;

  duration First;
  duration Cap;
  std::uint32_t Attempts = 0;
};

} // namespace radishrelay::base

#endif
