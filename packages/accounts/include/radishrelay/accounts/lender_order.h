#ifndef RADISHRELAY_ACCOUNTS_LENDER_ORDER_H
#define RADISHRELAY_ACCOUNTS_LENDER_ORDER_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <optional>
#include <vector>

namespace radishrelay::accounts {

/// The hosts that may lend tokens of one account, in order of preference,
/// with the time before which each is not asked again.
class lender_order {
public:
  /// Replaces the hosts; what is known of those that stay is kept.
  void setHosts(const std::vector<base::host_id> &Hosts);

  /// The first host that may be asked at \p Now.
  [[nodiscard]] std::optional<base::host_id> choose(base::time_point Now) const;

  /// When the next host may be asked; the far end of time without hosts.
  [[nodiscard]] base::time_point nextChoiceAt() const;

  /// Notes an answer: recordGrant in full, in part, or recordDenial. Denials
  /// double the pause so that an account above its rate does not flood its
  /// lenders.
  void recordGrant(const base::host_id &Host);
  void recordPartialGrant(const base::host_id &Host, base::time_point Now);
  void recordDenial(const base::host_id &Host, base::time_point Now);
  /// Notes that no answer came in time. The pause doubles as well: hosts that
  /// were cut off must not take up the time of waiting requests.
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
