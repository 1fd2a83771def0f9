#ifndef RADISHRELAY_ACCOUNTS_LENDER_ORDER_H
#define RADISHRELAY_ACCOUNTS_LENDER_ORDER_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <optional>
#include <vector>

namespace radishrelay::accounts {

/// The hosts that may lend tokens of one account, in order of preference, and
/// the time before which each is not asked again.
class lender_order {
public:
  /// Replaces the hosts. Keeps the state of the hosts that remain.
  void setHosts(const std::vector<base::host_id> &Hosts);

  /// The first host that may be asked at \p Now, if any.
  [[nodiscard]] std::optional<base::host_id> choose(base::time_point Now) const;

  /// Earliest time at which a host may be asked; time_point::max() without
  /// hosts.
  [[nodiscard]] base::time_point nextChoiceAt() const;

  /// Records an answer: granted in full, granted in part, or denied. Each
  /// denial doubles the pause, so that an account above its rate does not flood
  /// its lenders with requests.
  void recordGrant(const base::host_id &Host);
  void recordPartialGrant(const base::host_id &Host, base::time_point Now);
  void recordDenial(const base::host_id &Host, base::time_point Now);
  /// Records that no answer came in time. Each time-out doubles the pause, so
  /// that waiting requests lose no time on unreachable hosts.
  void recordTimeout(const base::host_id &Host, base::time_point Now);

private:
  struct lender {
    base::host_id Host;
    base::time_point NotBefore;
    int Denials = 0;
    int Timeouts = 0;
  };

  lender *find(const base::host_id &Host);

  std::vector<lender> Lenders;
};

} // namespace radishrelay::accounts

#endif
