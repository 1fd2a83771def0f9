#ifndef RADISHRELAY_BASE_MONOTONIC_CLOCK_H
#define RADISHRELAY_BASE_MONOTONIC_CLOCK_H

#include <chrono>
#include <cstdint>

namespace radishrelay::base {

/// Clock of all deadlines, with microsecond resolution.
///
/// The clock advances while the machine is suspended, so that a lease owner
/// that was suspended past its deadline finds the lease expired on resumption.
struct monotonic_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<monotonic_clock>;
  // The Clock requirements of the standard library prescribe this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;

/// Returns the time since the clock's epoch, in microseconds.
constexpr std::int64_t toMicroseconds(time_point Time) {
  return Time.time_since_epoch().count();
}

/// Returns the time point \p Microseconds after the clock's epoch.
constexpr time_point fromMicroseconds(std::int64_t Microseconds) {
  return time_point(duration(Microseconds));
}

} // namespace radishrelay::base

#endif
