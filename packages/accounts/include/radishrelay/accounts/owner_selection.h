#ifndef RADISHRELAY_ACCOUNTS_OWNER_SELECTION_H
#define RADISHRELAY_ACCOUNTS_OWNER_SELECTION_H

#include "radishrelay/accounts/host_identity.h"
#include "radishrelay/accounts/limiter_options.h"
#include "radishrelay/base/monotonic_clock.h"

#include <compare>
#include <map>
#include <vector>

namespace radishrelay::accounts {

/// A host that the membership reports as live.
struct live_host {
  base::host_id Host;
  base::failure_domain_id FailureDomain;

  friend auto operator<=>(const live_host &, const live_host &) = default;
};

/// Chooses the owner of each account in each failure domain, and the order in
/// which a host asks others for tokens.
///
/// The owner is the host that leases the domain's share of the account's limit
/// and lends tokens of it. A host is eligible as owner only once it has been
/// live for OwnerMinUptime: until then a restarted host may not use shares, and
/// the previous owner continues. If no host is eligible, all hosts count.
class owner_selection {
public:
  explicit owner_selection(host_identity Self) : Self(std::move(Self)) {}

  /// Replaces the list of live hosts.
  void setLive(std::vector<live_host> Hosts, base::time_point Now);

  /// The owner of \p Account in \p Domain; empty if no host of it is live.
  [[nodiscard]] base::host_id owner(const base::account_id &Account,
                                    const base::failure_domain_id &Domain,
                                    base::time_point Now) const;

  /// The other hosts to borrow from, in order of preference.
  [[nodiscard]] std::vector<base::host_id>
  lenders(const base::account_id &Account, loan_scope Scope,
          base::time_point Now) const;

  /// True if \p Host is live and in this host's failure domain.
  [[nodiscard]] bool isInOwnDomain(const base::host_id &Host) const;

private:
  void append(std::vector<base::host_id> &Order,
              const base::host_id &Host) const;
  [[nodiscard]] std::vector<base::host_id>
  hostsOf(const base::account_id &Account, bool InOwnDomain) const;

  host_identity Self;
  std::vector<live_host> Live;
  std::map<base::host_id, base::time_point> LiveSince;
};

} // namespace radishrelay::accounts

#endif
