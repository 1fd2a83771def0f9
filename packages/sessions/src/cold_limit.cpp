#include "radishrelay/sessions/detail/cold_limit.h"

#include <algorithm>
#include <cmath>

namespace radishrelay::sessions::detail {

namespace {

/// Largest burst: two tokens for each of two owners, so that one can lend while
/// the other is down.
constexpr double MaxBurst = 4;

/// Time within which the tokens have left the bucket that are used in one
/// second.
constexpr base::duration IssuePeriod = std::chrono::seconds(1) +
                                       accounts::lending_limiter::LoanLifetime +
                                       ColdPermitLifetime;

} // namespace

base::account_id coldAccount(const base::instance_id &Instance) {
  return base::account_id("cold " + Instance.str());
}

accounts::account_limits coldLimits(const base::instance_id &Instance,
                                    double StatementsPerSecond) {
  constexpr double MicrosecondsPerSecond = 1e6;
  double Period =
      static_cast<double>(IssuePeriod.count()) / MicrosecondsPerSecond;
  double Bound = std::max(0.0, StatementsPerSecond);
  double Burst = std::min(MaxBurst, std::floor(Bound / 2));
  double Rate = std::floor((Bound - Burst) / Period);
  if (Rate < 1 && Burst > 1) {
    // A low bound is better spent on a rate than on a burst.
    Burst = 1;
    Rate = std::floor((Bound - Burst) / Period);
  }
  return {coldAccount(Instance), static_cast<std::int64_t>(Rate),
          static_cast<std::int64_t>(Burst)};
}

} // namespace radishrelay::sessions::detail
