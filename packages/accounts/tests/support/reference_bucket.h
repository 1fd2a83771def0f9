#ifndef RADISHRELAY_ACCOUNTS_TESTS_REFERENCE_BUCKET_H
#define RADISHRELAY_ACCOUNTS_TESTS_REFERENCE_BUCKET_H

#include "radishrelay/base/monotonic_clock.h"

#include <algorithm>
#include <cstdint>

namespace radishrelay::accounts::fakes {

/// Reference for the limits of an account over the whole fleet: one exact token
/// bucket in millionths of a token, full at the start. A sequence of admissions
/// stays within burst + rate * window in every window if and only if no
/// admission finds the bucket empty. Shares no code with the limiter.
class reference_bucket {
public:
  reference_bucket(std::int64_t RatePerSecond, std::int64_t Burst)
      : Rate(RatePerSecond), Capacity(Burst * Token), Level(Capacity) {}

  /// Takes one token. Returns false if less than one is left.
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
