#include "radishrelay/daemon/store_call_name.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::daemon::tests {

// Guards against a metric that cannot tell which calls the fleet is charged
// for, or that grows with the number of hosts.
BOOST_AUTO_TEST_SUITE(the_name_of_a_store_call)

BOOST_AUTO_TEST_CASE(says_what_it_does_and_to_which_table) {
  BOOST_TEST(storeCallName(base::read_row{{"promotions", "g"}}) ==
             "read_row_promotions");
  BOOST_TEST(storeCallName(base::read_table{"members"}) ==
             "read_table_members");
  base::store_transaction Write;
  Write.Writes.push_back({{"members", "h1"}, base::json::object()});
  BOOST_TEST(storeCallName(Write) == "write_members");
  base::store_transaction Removal;
  Removal.Writes.push_back({{"members", "h1"}, nullptr});
  BOOST_TEST(storeCallName(Removal) == "delete_members");
  BOOST_TEST(storeCallName(base::store_transaction{}) == "check_rows");
}

BOOST_AUTO_TEST_CASE(tells_a_watch_from_a_read) {
  BOOST_TEST(readCallName("instances", std::chrono::seconds(1)) ==
             "watch_instances");
  BOOST_TEST(readCallName("instances", base::duration::zero()) ==
             "read_instances");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::daemon::tests
