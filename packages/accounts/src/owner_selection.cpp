#include "radishrelay/accounts/owner_selection.h"

#include "radishrelay/accounts/limits_timing.h"
#include "radishrelay/base/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace radishrelay::accounts {

void owner_selection::setLive(std::vector<live_host> Hosts,
                              base::time_point Now) {
  std::map<base::host_id, base::time_point> Since;
  for (const live_host &Host : Hosts) {
    auto Known = LiveSince.find(Host.Host);
    Since[Host.Host] = Known == LiveSince.end() ? Now : Known->second;
  }
  Live = std::move(Hosts);
  LiveSince = std::move(Since);
}

base::host_id owner_selection::owner(const base::account_id &Account,
                                     const base::failure_domain_id &Domain,
                                     base::time_point Now) const {
  std::vector<std::string> All;
  std::vector<std::string> Eligible;
  for (const live_host &Host : Live) {
    if (Host.FailureDomain != Domain)
      continue;
    All.push_back(Host.Host.str());
    if (Now >= LiveSince.at(Host.Host) + timing::OwnerMinUptime)
      Eligible.push_back(Host.Host.str());
  }
  const auto &Candidates = Eligible.empty() ? All : Eligible;
  if (Candidates.empty())
    return {};
  return base::host_id(
      base::rendezvousOrder(Account.str(), Candidates).front());
}

std::vector<base::host_id>
owner_selection::lenders(const base::account_id &Account, loan_scope Scope,
                         base::time_point Now) const {
  std::vector<base::host_id> Order;
  append(Order, owner(Account, Self.FailureDomain, Now));
  if (Scope == loan_scope::Fleet) {
    std::set<base::failure_domain_id> Domains;
    for (const live_host &Host : Live)
      Domains.insert(Host.FailureDomain);
    for (const base::failure_domain_id &Domain : Domains)
      append(Order, owner(Account, Domain, Now));
  }
  if (Scope != loan_scope::Owner)
    for (const base::host_id &Host : hostsOf(Account, true))
      append(Order, Host);
  if (Scope == loan_scope::Fleet)
    for (const base::host_id &Host : hostsOf(Account, false))
      append(Order, Host);
  return Order;
}

bool owner_selection::isInOwnDomain(const base::host_id &Host) const {
  return std::any_of(Live.begin(), Live.end(), [&](const live_host &Known) {
    return Known.Host == Host && Known.FailureDomain == Self.FailureDomain;
  });
}

std::vector<base::host_id>
owner_selection::hostsOf(const base::account_id &Account,
                         bool InOwnDomain) const {
  std::vector<std::string> Names;
  for (const live_host &Host : Live)
    if ((Host.FailureDomain == Self.FailureDomain) == InOwnDomain)
      Names.push_back(Host.Host.str());
  // The order depends on the borrower, so that not all ask the same host first.
  std::string Key = Account.str() + "/" + Self.Host.str();
  std::vector<base::host_id> Hosts;
  for (std::string &Name : base::rendezvousOrder(Key, Names))
    Hosts.emplace_back(std::move(Name));
  return Hosts;
}

void owner_selection::append(std::vector<base::host_id> &Order,
                             const base::host_id &Host) const {
  bool Known = std::find(Order.begin(), Order.end(), Host) != Order.end();
  if (!Known && !Host.empty() && Host != Self.Host)
    Order.push_back(Host);
}

} // namespace radishrelay::accounts
