#include "radishrelay/sessions/detail/limit_owners.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using detail::countHosts;
using detail::hosts_by_domain;
using detail::limitOwners;

const base::account_id Account("a");

hosts_by_domain fleet(std::size_t HostsPerDomain) {
  hosts_by_domain Result;
  for (const char *Domain : {"x", "y", "z"})
    for (std::size_t Index = 0; Index < HostsPerDomain; ++Index)
      Result[Domain].push_back(std::string(Domain) + std::to_string(Index));
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_limits_of_an_account)

BOOST_AUTO_TEST_CASE(are_owned_by_all_hosts_of_a_small_fleet) {
  BOOST_TEST(countHosts(limitOwners({Account, 100, 100}, fleet(4))) == 12U);
}

// Guards against shares of less than one token: with 117 equal shares no host
// ever had a whole token, and no operation was admitted.
BOOST_AUTO_TEST_CASE(give_each_owner_whole_tokens_in_a_large_fleet) {
  for (std::int64_t Burst : {1, 3, 5, 20, 175, 1000}) {
    hosts_by_domain Owners = limitOwners({Account, Burst, Burst}, fleet(39));
    BOOST_TEST(countHosts(Owners) >= 1U);
    BOOST_TEST(Burst / static_cast<std::int64_t>(countHosts(Owners)) >= 1);
  }
}

BOOST_AUTO_TEST_CASE(are_owned_in_each_failure_domain_if_the_burst_allows_it) {
  BOOST_TEST(limitOwners({Account, 6, 6}, fleet(39)).size() == 3U);
  BOOST_TEST(limitOwners({Account, 3, 3}, fleet(39)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(change_a_single_owner_when_a_host_leaves) {
  hosts_by_domain Before = limitOwners({Account, 60, 60}, fleet(39));
  hosts_by_domain Hosts = fleet(39);
  std::string Removed = Before["y"].back();
  std::erase(Hosts["y"], Removed);
  hosts_by_domain After = limitOwners({Account, 60, 60}, Hosts);
  BOOST_TEST((After["x"] == Before["x"]));
  BOOST_TEST(After["y"].size() == Before["y"].size());
  std::size_t Moved = 0;
  for (const std::string &Name : After["y"])
    Moved += std::ranges::count(Before["y"], Name) == 0 ? 1 : 0;
  BOOST_TEST(Moved == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
