#include "radishrelay/sessions/listing_cache.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using namespace std::chrono_literals;

instance_listing entry(const std::string &Name) {
  instance_listing Listing;
  Listing.Instance = base::instance_id(Name);
  return Listing;
}

base::time_point at(base::duration Time) {
  return base::fromMicroseconds(10'000'000) + Time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_list_of_instances)

BOOST_AUTO_TEST_CASE(drops_an_entry_that_a_new_list_lacks) {
  listing_cache Cache;
  Cache.merge({entry("a"), entry("b")}, at(0ms));
  BOOST_TEST(Cache.merge({entry("a")}, at(1000ms)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    retains_entries_that_expired_during_an_outage_of_the_store) {
  listing_cache Cache;
  Cache.merge({entry("a"), entry("b")}, at(0ms));
  Cache.recordOutage();
  BOOST_TEST(Cache.merge({}, at(5000ms)).size() == 2U);
  BOOST_TEST(Cache.merge({entry("a")}, at(6000ms)).size() == 2U);
  BOOST_TEST(Cache.merge({entry("a")}, at(7600ms)).size() == 1U);
}

// An unchanged list is not read again, so retained entries have to be dropped
// without another read.
BOOST_AUTO_TEST_CASE(drops_retained_entries_without_another_read) {
  listing_cache Cache;
  Cache.merge({entry("a"), entry("b")}, at(0ms));
  Cache.recordOutage();
  Cache.merge({entry("a")}, at(5000ms));
  BOOST_TEST(!Cache.dropExpired(at(7400ms)).has_value());
  BOOST_TEST(Cache.dropExpired(at(7500ms))->size() == 1U);
  BOOST_TEST(!Cache.dropExpired(at(7600ms)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
