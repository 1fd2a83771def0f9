#include "arrival_generator.h"
#include "session_book.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <set>

using namespace radishrelay;
using namespace radishrelay::cli;

namespace {

arrival_options exampleOptions() {
  arrival_options Options;
  Options.Seed = 11;
  Options.Length = std::chrono::seconds(100);
  Options.RatePerSecond = {100, 0, 20};
  Options.SessionsPerAccount = 4;
  Options.Groups = 3;
  Options.Hosts = 5;
  Options.Reads = 0.7;
  Options.StrictAmongReads = 0.1;
  Options.KeyedAmongWrites = 0.5;
  return Options;
}

std::vector<planned_request> allArrivals(const arrival_options &Options) {
  arrival_generator Generator(Options);
  std::vector<planned_request> All;
  while (auto Next = Generator.next())
    All.push_back(*Next);
  return All;
}

/// Six standard deviations of a Poisson count.
bool isNear(std::size_t Count, double Mean) {
  return std::abs(static_cast<double>(Count) - Mean) < 6 * std::sqrt(Mean);
}

} // namespace

BOOST_AUTO_TEST_SUITE(arrivals)

/// Guards against runs that cannot be repeated from their seed.
BOOST_AUTO_TEST_CASE(depend_on_the_seed_only) {
  arrival_options Options = exampleOptions();
  BOOST_TEST((allArrivals(Options) == allArrivals(Options)));
  arrival_options Other = Options;
  Other.Seed = 12;
  BOOST_TEST((allArrivals(Options) != allArrivals(Other)));
}

/// Guards against a load that differs from what was asked for.
BOOST_AUTO_TEST_CASE(have_the_rates_and_the_mix_asked_for) {
  std::vector<std::size_t> PerAccount(3);
  std::size_t Reads = 0;
  std::vector<planned_request> All = allArrivals(exampleOptions());
  for (const planned_request &Request : All) {
    ++PerAccount[Request.Account];
    Reads += isRead(Request.Kind) ? 1 : 0;
  }
  BOOST_TEST(isNear(PerAccount[0], 10000));
  BOOST_TEST(PerAccount[1] == 0U);
  BOOST_TEST(isNear(PerAccount[2], 2000));
  BOOST_TEST(isNear(Reads, 0.7 * static_cast<double>(All.size())));
}

/// Guards against arrivals out of order or after the end.
BOOST_AUTO_TEST_CASE(come_in_the_order_of_time) {
  arrival_options Options = exampleOptions();
  base::duration Last{};
  for (const planned_request &Request : allArrivals(Options)) {
    BOOST_REQUIRE((Request.At >= Last && Request.At < Options.Length));
    Last = Request.At;
  }
}

/// Guards against sessions that stay on one host or change their group, which
/// would leave the roaming of tokens untested.
BOOST_AUTO_TEST_CASE(let_each_session_roam_between_hosts_in_one_group) {
  std::map<std::size_t, std::set<std::size_t>> Hosts;
  std::map<std::size_t, std::set<std::size_t>> Groups;
  for (const planned_request &Request : allArrivals(exampleOptions())) {
    Hosts[Request.Session].insert(Request.Host);
    Groups[Request.Session].insert(Request.Group);
  }
  BOOST_TEST(Hosts.size() == 8U);
  for (const auto &[Session, Used] : Hosts)
    BOOST_TEST(Used.size() == 5U);
  for (const auto &[Session, Used] : Groups)
    BOOST_TEST(Used.size() == 1U);
}

BOOST_AUTO_TEST_SUITE(with_overlapping_requests_of_a_session)

/// Guards against a token that does not cover the write it is checked for: the
/// read was sent before the write ended, so its token lacks the write.
BOOST_AUTO_TEST_CASE(keep_the_token_of_the_write) {
  session_book Book(1);
  std::uint64_t Before = Book.stateOf(0).Changes;
  Book.endWrite(0, "token of write", "id-1");
  Book.endRead(0, "token of read", Before);
  BOOST_TEST(Book.stateOf(0).Token == "token of write");
  BOOST_TEST(Book.stateOf(0).LastWrite == "id-1");
}

/// Guards against losing what a read has seen.
BOOST_AUTO_TEST_CASE(take_the_token_of_a_read_that_ended_alone) {
  session_book Book(1);
  Book.endWrite(0, "token of write", "id-1");
  Book.endRead(0, "token of read", Book.stateOf(0).Changes);
  BOOST_TEST(Book.stateOf(0).Token == "token of read");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
