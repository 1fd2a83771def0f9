#ifndef RADISHRELAY_ACCOUNTS_TESTS_REFERENCE_BUCKET_H
#define RADISHRELAY_ACCOUNTS_TESTS_REFERENCE_BUCKET_H

#include "radishrelay/base/monotonic_clock.h"

#include <algorithm>
#include <cstdint>

namespace radishrelay::accounts::fakes {

/// One exact token bucket over the whole fleet, in millionths of a token, full
/// at the start. A sequence of admissions stays within burst + rate * window
/// in every window if and only if none finds it empty. Shares no code with
/// the limiter.
class reference_bucket {
public:
  reference_bucket(std::int64_t RatePerSecond, std::int64_t Burst)
      : Rate(RatePerSecond), Capacity(Burst * Token), Level(Capacity) {}

  /// Takes a token; returns false when there is less than one.
  bool take(base::time_point Now) {
    Level = std::min(Capacity, Level + (Now - UpdatedAt).count() * Rate);
    UpdatedAt = Now;
    if (Level < Token)
      return false;
    Level -= Token;
    return true;
  }

private:
  static constexpr std::int64_t Token = 1'000'000;
  std::int64_t Rate;
  std::int64_t Capacity;
  std::int64_t Level;
  base::time_point UpdatedAt = base::fromMicroseconds(0);
};

} // namespace radishrelay::accounts::fakes

#endif
