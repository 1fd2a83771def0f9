#include "radishrelay/sessions/detail/store_watch.h"

#include "radishrelay/base/store_version.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using namespace std::chrono_literals;
using detail::store_watch;
using detail::watch_report;
using detail::watched_source;

constexpr watched_source Catalog = watched_source::Catalog;

base::time_point at(base::duration Time) {
  return base::fromMicroseconds(100'000'000) + Time;
}

std::uint64_t inHistory(std::uint64_t History, std::uint64_t Number) {
  return base::versionIn(History, Number);
}

/// A host that read version 7 at time 0.
struct informed_host {
  informed_host() {
    Watch.startCall(Catalog, at(0ms));
    Watch.confirmed(Catalog, {7, 7}, {at(0ms), 0ms}, at(0ms));
  }

  void report(std::uint64_t Version, base::duration Age, base::duration Now) {
    watch_report Report;
    Report.Sources[0] = {true, Version, Age};
    Watch.receive(Report, at(Now));
  }

  store_watch Watch;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_configuration)

BOOST_AUTO_TEST_SUITE(is_read)

BOOST_AUTO_TEST_CASE(at_the_start) {
  store_watch Watch;
  BOOST_TEST((*Watch.startCall(Catalog, at(0ms)) == 0ms));
  BOOST_TEST(!Watch.startCall(Catalog, at(1ms)).has_value());
}

BOOST_FIXTURE_TEST_CASE(when_a_watcher_reports_a_newer_version, informed_host) {
  BOOST_TEST(!Watch.startCall(Catalog, at(1000ms)).has_value());
  report(8, 1ms, 1000ms);
  BOOST_TEST((*Watch.startCall(Catalog, at(1000ms)) == 0ms));
}

// Guards against an evacuation that a host does not learn of, since the version
// of the configuration stays the same.
BOOST_FIXTURE_TEST_CASE(when_a_watcher_reports_another_digest, informed_host) {
  watch_report Report;
  Report.Sources[0] = {true, 7, 1ms, 99};
  Watch.receive(Report, at(1000ms));
  BOOST_TEST(Watch.startCall(Catalog, at(1000ms)).has_value());
  Watch.confirmed(Catalog, {7, 7, 99}, {at(1000ms), 0ms}, at(1001ms));
  Watch.receive(Report, at(2000ms));
  BOOST_TEST(!Watch.startCall(Catalog, at(2000ms)).has_value());
}

// A report that was on its way when this host has read.
BOOST_FIXTURE_TEST_CASE(not_when_a_report_with_another_digest_is_older,
                        informed_host) {
  Watch.confirmed(Catalog, {7, 7, 99}, {at(1000ms), 0ms}, at(1001ms));
  report(7, 200ms, 1100ms);
  BOOST_TEST(!Watch.startCall(Catalog, at(2000ms)).has_value());
}

// Instances that start together cause a burst of changes.
BOOST_FIXTURE_TEST_CASE(once_for_a_burst_of_changes, informed_host) {
  int Reads = 0;
  for (std::uint64_t Change = 0; Change < 24; ++Change) {
    base::duration Time = 1000ms + 20ms * Change;
    report(8 + Change, 1ms, Time);
    if (Watch.startCall(Catalog, at(Time))) {
      Watch.confirmed(Catalog, {8 + Change, 8 + Change}, {at(Time), 0ms},
                      at(Time));
      ++Reads;
    }
  }
  BOOST_TEST(Reads == 1);
  BOOST_TEST(Watch.startCall(Catalog, at(1800ms)).has_value());
}

BOOST_FIXTURE_TEST_CASE(when_a_read_is_requested, informed_host) {
  Watch.requestRead(Catalog);
  BOOST_TEST(Watch.startCall(Catalog, at(1000ms)).has_value());
  Watch.confirmed(Catalog, {7, 7}, {at(1000ms), 0ms}, at(1001ms));
  BOOST_TEST(!Watch.startCall(Catalog, at(2000ms)).has_value());
}

// Watchers that are cut off from the store report an old confirmation.
BOOST_FIXTURE_TEST_CASE(when_no_report_has_confirmed_it_within_the_lifetime,
                        informed_host) {
  report(7, 500ms, 1000ms);
  report(7, 1500ms, 2000ms);
  base::duration Due = 500ms + store_watch::ConfirmationLifetime;
  BOOST_TEST(!Watch.startCall(Catalog, at(Due - 1ms)).has_value());
  BOOST_TEST(Watch.startCall(Catalog, at(Due)).has_value());
}

// A watcher that still knows the history that the store has lost.
BOOST_FIXTURE_TEST_CASE(when_only_a_report_from_an_earlier_history_confirms_it,
                        informed_host) {
  Watch.confirmed(Catalog, {inHistory(2, 5), inHistory(2, 5)}, {at(0ms), 0ms},
                  at(0ms));
  report(inHistory(1, 900), 0ms, 2000ms);
  BOOST_TEST(Watch.startCall(Catalog, at(store_watch::ConfirmationLifetime))
                 .has_value());
}

BOOST_FIXTURE_TEST_CASE(continuously_by_a_watcher_that_waits_for_changes,
                        informed_host) {
  Watch.setWatcher(true);
  auto Wait = Watch.startCall(Catalog, at(store_watch::ConfirmationLifetime));
  BOOST_REQUIRE(Wait.has_value());
  BOOST_TEST((*Wait > 0ms));
  BOOST_TEST((*Wait < store_watch::ConfirmationLifetime));
}

// Guards against a hundred hosts that call at a high rate during an outage; the
// store charges for rejected calls too.
// Guards against an attempt to promote that ends before the list of instances
// is known to be current.
BOOST_FIXTURE_TEST_CASE(with_short_waits_while_the_host_promotes,
                        informed_host) {
  Watch.setWatcher(true);
  Watch.setPromoting(true);
  BOOST_TEST((*Watch.startCall(Catalog, at(800ms)) <= 300ms));
}

BOOST_FIXTURE_TEST_CASE(less_often_while_the_store_fails, informed_host) {
  int Calls = 0;
  for (base::duration Time = 2300ms; Time < 12300ms; Time += 1ms)
    if (Watch.startCall(Catalog, at(Time))) {
      Watch.failed(Catalog, at(Time));
      ++Calls;
    }
  BOOST_TEST(Calls <= 10);
  BOOST_TEST(Calls >= 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_reported_by_a_watcher)

BOOST_FIXTURE_TEST_CASE(with_the_age_of_its_confirmation, informed_host) {
  Watch.setWatcher(true);
  Watch.takeReport(at(0ms));
  Watch.startCall(Catalog, at(0ms));
  // The answer arrives 40 ms after the end of the wait.
  Watch.confirmed(Catalog, {7, 7}, {at(0ms), 1700ms}, at(1740ms));
  auto Report = Watch.takeReport(at(1750ms));
  BOOST_REQUIRE(Report.has_value());
  BOOST_TEST(Report->Sources[0].ChangedVersion == 7U);
  BOOST_TEST((Report->Sources[0].Age == 50ms));
  BOOST_TEST(!Watch.takeReport(at(1751ms)).has_value());
}

BOOST_FIXTURE_TEST_CASE(with_the_age_of_the_request_if_it_has_changed,
                        informed_host) {
  Watch.setWatcher(true);
  Watch.startCall(Catalog, at(0ms));
  Watch.confirmed(Catalog, {8, 8}, {at(0ms), 1700ms}, at(900ms));
  BOOST_TEST((Watch.takeReport(at(900ms))->Sources[0].Age == 900ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_marked_as_read_after_an_outage)

BOOST_FIXTURE_TEST_CASE(if_the_previous_read_failed, informed_host) {
  BOOST_TEST(!Watch.hadOutage(Catalog));
  Watch.failed(Catalog, at(1000ms));
  Watch.confirmed(Catalog, {7, 7}, {at(1300ms), 0ms}, at(1301ms));
  BOOST_TEST(Watch.hadOutage(Catalog));
}

// A host that seldom reads may not observe a failed read during an outage.
BOOST_FIXTURE_TEST_CASE(if_the_source_was_not_confirmed_for_a_long_time,
                        informed_host) {
  Watch.confirmed(Catalog, {9, 9}, {at(3600ms), 0ms}, at(3601ms));
  BOOST_TEST(Watch.hadOutage(Catalog));
}

// The copy that the store was restored from lacks the latest entries.
BOOST_FIXTURE_TEST_CASE(if_it_belongs_to_a_later_history, informed_host) {
  Watch.confirmed(Catalog, {inHistory(1, 3), inHistory(1, 3)},
                  {at(1000ms), 0ms}, at(1001ms));
  BOOST_TEST(Watch.hadOutage(Catalog));
  BOOST_TEST(!Watch.isComplete(Catalog, at(3400ms)));
  BOOST_TEST(Watch.isComplete(Catalog, at(3500ms)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
