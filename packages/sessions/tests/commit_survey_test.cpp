#include "radishrelay/sessions/detail/commit_survey.h"

#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using namespace detail;

const base::group_id Group("g");

/// A host in the failure domain b, with h2 in the domain of the primary, a, and
/// h3 and h4 in domain c.
struct fixture : fake_fleet {
  fixture() {
    addHost("h2", "a");
    addHost("h3", "c");
    addHost("h4", "c");
    advanceTime(9000ms); // until the members table is read again
    Datagrams.clear();
  }

  void addHost(const std::string &Name, const std::string &Domain) {
    Rows[{"members", Name}] = {
        {"members", Name}, 900, {{"domain", Domain}, {"address", Name + ":1"}}};
  }

  template <typename Kind>
  std::vector<std::pair<std::string, Kind>> sent() const {
    std::vector<std::pair<std::string, Kind>> Result;
    for (const auto &[Address, Bytes] : Datagrams) {
      auto Datagram = decodeDatagram(Bytes);
      if (const auto *Found = std::get_if<Kind>(&Datagram->Message))
        Result.emplace_back(Address, *Found);
    }
    return Result;
  }

  /// Lets the hosts that this one asks answer, except \p Silent.
  void answerInquiries(const std::set<std::string> &Silent,
                       std::optional<groups::log_position> Acknowledged = {},
                       base::duration RunningFor = 60s) {
    for (const auto &[Address, Inquiry] : sent<commit_inquiry>()) {
      std::string Host = Address.substr(0, Address.find(':'));
      if (Silent.contains(Host))
        continue;
      engine().datagramReceived(
          encodeDatagram(
              {Address, commit_report{Group, Inquiry.Round, base::host_id(Host),
                                      RunningFor, Acknowledged}}),
          now());
    }
    Datagrams.clear();
  }

  /// The primary stops to answer. Returns the time from the fence
  /// of both replicas to the order.
  base::duration
  timeToOrder(const std::set<std::string> &Silent,
              std::optional<groups::log_position> Acknowledged = {},
              base::duration RunningFor = 60s) {
    ask(connect("primary"), "write x 1");
    instance("r1").Log = instance("p").Log;
    instance("p").IsUnresponsive = true;
    send(connect("primary"), "write x 2");
    std::optional<base::time_point> FencedAt;
    while (PromotionOrders.empty()) {
      BOOST_REQUIRE((now() < base::fromMicroseconds(60'000'000)));
      advanceTime(1ms);
      vote();
      answerInquiries(Silent, Acknowledged, RunningFor);
      bool AreFenced = instance("r1").Fenced > 0 && instance("r2").Fenced > 0;
      if (AreFenced && !FencedAt)
        FencedAt = now();
    }
    return now() - FencedAt.value_or(now());
  }

  /// The other hosts find the primary lost as soon as this one does.
  void vote() {
    for (const char *Host : {"h2", "h3", "h4"})
      engine().datagramReceived(
          encodeDatagram({std::string(Host) + ":1",
                          promotion_vote{Group, 1, base::host_id(Host),
                                         base::failure_domain_id(
                                             Host[1] == '2' ? "a" : "c")}}),
          now());
  }
};

/// The wait for the leases, 735 ms, and some rounds of calls.
constexpr base::duration QuickOrder = 1000ms;

} // namespace

BOOST_AUTO_TEST_SUITE(a_promotion_without_the_old_primary)

// Guards against a promotion that is delayed although no commit is at risk.
BOOST_FIXTURE_TEST_CASE(is_ordered_at_once_if_all_hosts_report, fixture) {
  BOOST_TEST((timeToOrder({}) < QuickOrder));
}

BOOST_FIXTURE_TEST_CASE(awaits_the_list_if_a_host_is_silent, fixture) {
  base::duration Time = timeToOrder({"h3"});
  BOOST_TEST((Time > QuickOrder + 1000ms));
  BOOST_TEST((Time < 3500ms));
}

// Guards against a wait for hosts that are cut off together with the primary.
BOOST_FIXTURE_TEST_CASE(is_ordered_at_once_if_the_domain_of_the_primary_is_cut,
                        fixture) {
  BOOST_TEST((timeToOrder({"h2"}) < QuickOrder));
}

// Guards against a host that knows no commit of its earlier run.
BOOST_FIXTURE_TEST_CASE(awaits_the_list_if_a_host_has_just_started, fixture) {
  BOOST_TEST((timeToOrder({}, std::nullopt, 500ms) > QuickOrder + 1000ms));
}

BOOST_FIXTURE_TEST_CASE(awaits_the_list_if_a_commit_is_on_no_fenced_replica,
                        fixture) {
  BOOST_TEST(
      (timeToOrder({}, groups::log_position{1, 500}) > QuickOrder + 1000ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_that_is_asked_for_its_commits)

// Guards against commits that are acknowledged after the report, and so are
// unknown to the promotion.
BOOST_FIXTURE_TEST_CASE(reports_them_and_gives_up_its_lease, fixture) {
  ask(connect("primary"), "write x 1");
  ask(connect("primary"), "read x");
  Datagrams.clear();
  Requests.clear();
  for (const char *Name : {"r1", "r2"})
    instance(Name).IsUnresponsive = true;
  engine().datagramReceived(
      encodeDatagram({"h3:1", commit_inquiry{Group, 1, 77}}), now());
  auto Reports = sent<commit_report>();
  BOOST_REQUIRE(Reports.size() == 1U);
  BOOST_TEST(Reports[0].first == "h3:1");
  BOOST_TEST(Reports[0].second.Round == 77U);
  BOOST_TEST((Reports[0].second.RunningFor > 5s));
  BOOST_TEST((Reports[0].second.Acknowledged == instance("p").Log));
  send(connect("primary"), "read x");
  advanceTime(50ms);
  BOOST_TEST(held().empty());
}

BOOST_FIXTURE_TEST_CASE(keeps_the_lease_of_a_later_term, fixture) {
  for (const char *Name : {"p", "r1", "r2"})
    instance(Name).Log = {3, 100};
  ask(connect("primary"), "read x");
  engine().datagramReceived(
      encodeDatagram({"h3:1", commit_inquiry{Group, 2, 77}}), now());
  send(connect("primary"), "read x");
  BOOST_TEST(held().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
