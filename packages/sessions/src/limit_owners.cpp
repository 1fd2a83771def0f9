#include "radishrelay/sessions/detail/limit_owners.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// Tokens of the burst per owner that make a share useful: some operations can
/// start at the same time on one host.
constexpr std::size_t TokensPerOwner = 4;
/// Minimum number of tokens per owner, accepted so that each failure domain has
/// an owner; with fewer, fractions of a token remain unused.
constexpr std::size_t MinTokensPerOwner = 2;

} // namespace

std::size_t countHosts(const hosts_by_domain &Hosts) {
  std::size_t Count = 0;
  for (const auto &[Domain, Names] : Hosts)
    Count += Names.size();
  return Count;
}

hosts_by_domain limitOwners(const accounts::account_limits &Limits,
                            const hosts_by_domain &Hosts) {
  auto Burst =
      static_cast<std::size_t>(std::max<std::int64_t>(0, Limits.Burst));
  std::size_t ForDomains = std::min(Hosts.size(), Burst / MinTokensPerOwner);
  std::size_t Wanted =
      std::max({std::size_t{1}, ForDomains, Burst / TokensPerOwner});
  std::size_t Left = std::min(Wanted, countHosts(Hosts));

  std::vector<std::string> Domains;
  std::map<std::string, std::vector<std::string>> Orders;
  for (const auto &[Domain, Names] : Hosts) {
    Domains.push_back(Domain);
    Orders[Domain] = base::rendezvousOrder(Limits.Account.str(), Names);
  }
  Domains = base::rendezvousOrder(Limits.Account.str(), Domains);
  hosts_by_domain Result;
  for (std::size_t Rank = 0; Left > 0; ++Rank)
    for (const std::string &Domain : Domains)
      if (Left > 0 && Rank < Orders[Domain].size()) {
        Result[Domain].push_back(Orders[Domain][Rank]);
        --Left;
      }
  return Result;
}

} // namespace radishrelay::sessions::detail
