#ifndef RADISHRELAY_SESSIONS_DETAIL_LIMIT_OWNERS_H
#define RADISHRELAY_SESSIONS_DETAIL_LIMIT_OWNERS_H

#include "radishrelay/accounts/account_limits.h"

#include <map>
#include <string>
#include <vector>

namespace radishrelay::sessions::detail {

/// Names of hosts by the name of their failure domain.
using hosts_by_domain = std::map<std::string, std::vector<std::string>>;

/// Selects the hosts that hold equal shares of an account's limits, the owners,
/// by failure domain.
///
/// A share of less than one token admits nothing, so a small burst is owned by
/// few hosts; where the burst allows it, each failure domain has an owner. The
/// result depends on the arguments alone, so all hosts select the same owners.
hosts_by_domain limitOwners(const accounts::account_limits &Limits,
                            const hosts_by_domain &Hosts);

/// Number of hosts in all failure domains.
std::size_t countHosts(const hosts_by_domain &Hosts);

} // namespace radishrelay::sessions::detail

#endif
