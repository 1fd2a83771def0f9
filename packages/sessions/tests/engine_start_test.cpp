#include "radishrelay/sessions/detail/peer_message.h"
#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using detail::decodeDatagram;
using detail::encodeDatagram;
using detail::report_request;
using detail::starting_catalog;
using detail::watch_report;

/// A host that has started beside h2 and h3 and has read version 3 of the
/// configuration.
struct started_host : fake_fleet {
  started_host() {
    for (const char *Name : {"h2", "h3"})
      Rows[{"members", Name}] = {
          {"members", Name},
          900,
          {{"domain", "c"}, {"address", std::string(Name) + ":1"}}};
    startHost();
    Datagrams.clear();
    publishListings();
    readCatalogAs(3);
    advanceTime(10ms);
  }

  /// Hosts that were asked for what they know of the store.
  std::set<std::string> asked() const {
    std::set<std::string> Result;
    for (const auto &[Address, Bytes] : Datagrams)
      if (std::holds_alternative<report_request>(
              decodeDatagram(Bytes)->Message))
        Result.insert(Address);
    return Result;
  }

  void report(const std::string &From, std::uint64_t Version) {
    watch_report Report;
    Report.Sources[0] = {true, Version, 1ms};
    engine().datagramReceived(encodeDatagram({From, Report}), now());
    advanceTime(1ms);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_that_has_started)

// Guards against keys that are accepted again after they were withdrawn, and
// routes that are unknown again, when a host starts while the store shows an
// older configuration than the one in force.
BOOST_FIXTURE_TEST_SUITE(uses_the_configuration_of_the_store, started_host)

BOOST_AUTO_TEST_CASE(once_the_others_use_nothing_newer) {
  BOOST_TEST((asked() == std::set<std::string>{"h2:1", "h3:1"}));
  BOOST_TEST(!engine().isReady());
  report("h2:1", 3);
  BOOST_TEST(!engine().isReady());
  report("h3:1", 2);
  BOOST_TEST(engine().isReady());
}

BOOST_AUTO_TEST_CASE(only_when_it_is_as_new_as_that_of_another_host) {
  report("h2:1", 5);
  report("h3:1", 3);
  advanceTime(500ms);
  BOOST_TEST(!engine().isReady());
  BOOST_TEST((*rejection(connect("primary")) == refusal::Busy));
  readCatalogAs(5);
  BOOST_TEST(engine().isReady());
  BOOST_TEST(engine().configurationVersion() == 5U);
}

BOOST_AUTO_TEST_CASE(if_no_other_host_replies_in_time) {
  advanceTime(starting_catalog::ReplyTimeout - 20ms);
  BOOST_TEST(!engine().isReady());
  advanceTime(20ms);
  BOOST_TEST(engine().isReady());
}

// The operators have not written the newer one again.
BOOST_AUTO_TEST_CASE(if_the_store_does_not_show_a_newer_one_in_time) {
  report("h2:1", 5);
  advanceTime(starting_catalog::ReturnPeriod - 100ms);
  BOOST_TEST(!engine().isReady());
  advanceTime(200ms);
  BOOST_TEST(engine().isReady());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(without_other_hosts_uses_the_configuration_at_once) {
  fake_fleet Fleet;
  Fleet.startHost();
  Fleet.publishListings();
  Fleet.readCatalogAs(1);
  Fleet.advanceTime(1ms);
  BOOST_TEST(Fleet.engine().isReady());
}

// The reply tells a host that has started which configuration is in force.
BOOST_AUTO_TEST_CASE(is_told_what_another_host_knows_of_the_store) {
  fake_fleet Fleet;
  Fleet.readCatalogAs(7);
  Fleet.Datagrams.clear();
  Fleet.engine().datagramReceived(encodeDatagram({"h9:1", report_request{}}),
                                  Fleet.now());
  BOOST_REQUIRE(Fleet.Datagrams.size() == 1U);
  BOOST_TEST(Fleet.Datagrams[0].first == "h9:1");
  auto Sent = decodeDatagram(Fleet.Datagrams[0].second);
  auto Version = detail::catalogVersion(std::get<watch_report>(Sent->Message));
  BOOST_REQUIRE(Version.has_value());
  BOOST_TEST(*Version == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
