#ifndef RADISHRELAY_BENCH_LIMITS_DEPLOYMENT_H
#define RADISHRELAY_BENCH_LIMITS_DEPLOYMENT_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/base/monotonic_clock.h"

#include <string>
#include <vector>

namespace radishrelay::bench_limits {

/// A failure domain and its hosts.
struct domain_layout {
  std::string Name;
  int Hosts = 0;
};

/// One of the organisations that run the system.
struct deployment {
  std::string Name;
  std::vector<domain_layout> Domains;
  /// One way between failure domains.
  base::duration FarLatency{};
  std::vector<accounts::account_limits> Accounts;
  /// Index of the account that sends SurgeFactor times its rate.
  std::size_t Surging = 1;
};

/// The others send this part of their rate.
constexpr double OrdinaryLoad = 0.7;
constexpr double SurgeFactor = 5.0;

inline std::vector<accounts::account_limits> eightAccounts() {
  std::vector<accounts::account_limits> Accounts;
  int Index = 0;
  // A few large accounts; the burst is two seconds of the rate.
  for (std::int64_t Rate : {400, 300, 200, 40, 30, 20, 10, 5})
    Accounts.push_back({base::account_id("account-" + std::to_string(++Index)),
                        Rate, 2 * Rate});
  return Accounts;
}

inline deployment graniteLedger() {
  return {"granite",
          {{"boston", 5}, {"hartford", 4}, {"portland", 4}},
          std::chrono::microseconds(1000),
          eightAccounts()};
}

inline deployment amman() {
  return {"amman",
          {{"amman-a", 7}, {"amman-b", 7}, {"amman-c", 7}},
          std::chrono::microseconds(1500),
          eightAccounts()};
}

} // namespace radishrelay::bench_limits

#endif
