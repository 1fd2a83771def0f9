#include "radishrelay/tables/stand_in_platform.h"
#include "radishrelay/tables/table_client.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::tables;
using base::store_outcome;

// Long enough for a loaded machine; no case waits for it.
constexpr std::chrono::seconds Generous(20);

base::time_point soon() { return base::monotonic_clock::now() + Generous; }

struct fixture {
  stand_in_platform Platform;
  table_client Client{Platform.address()};
  base::row_key Key{"configuration", "current"};

  base::store_answer write(base::row_version Expected,
                           const base::json &Value) {
    return Client.execute(
        base::store_transaction{{{Key, Expected}}, {{Key, Value}}}, soon());
  }
  base::table_row row() {
    auto Answer = Client.execute(base::read_row{Key}, soon());
    BOOST_REQUIRE(Answer.Outcome == store_outcome::Done);
    return Answer.Rows.at(0);
  }
  void setMode(stand_in_fault_mode Mode) { Platform.setFault({Mode}); }
  std::string request(const std::string &Method, const std::string &Path,
                      const std::string &Body) {
    Poco::Net::HTTPClientSession Session{
        Poco::Net::SocketAddress(Platform.address())};
    Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string Text;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
    return std::to_string(Response.getStatus()) + " " + Text;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_over_http)

BOOST_FIXTURE_TEST_SUITE(a_transaction, fixture)

// Guards against a write that ignores its condition.
BOOST_AUTO_TEST_CASE(takes_effect_only_while_its_conditions_hold) {
  auto First = write(0, {{"n", 1}});
  BOOST_REQUIRE(First.Outcome == store_outcome::Done);
  auto Second = write(0, {{"n", 2}});
  BOOST_REQUIRE(Second.Outcome == store_outcome::Conflict);
  BOOST_TEST(
      (Second.Rows.at(0) == base::table_row{Key, First.Version, {{"n", 1}}}));
  BOOST_TEST(row().Value["n"] == 1);
}

// Guards against a transaction that is applied in part.
BOOST_AUTO_TEST_CASE(writes_all_rows_or_none) {
  base::row_key Other{"configuration_history", "1/a b%"};
  base::store_transaction Both{{{Key, 0}, {Other, 7}}, {{Key, 1}, {Other, 2}}};
  BOOST_TEST((Client.execute(Both, soon()).Outcome == store_outcome::Conflict));
  BOOST_TEST(row().Version == 0U);
  Both.Conditions[1].Version = 0;
  auto Answer = Client.execute(Both, soon());
  BOOST_REQUIRE(Answer.Outcome == store_outcome::Done);
  auto Read = Client.execute(base::read_row{Other}, soon());
  BOOST_TEST((Read.Rows.at(0) == base::table_row{Other, Answer.Version, 2}));
}

// Guards against a row that is created again with a version it had before.
BOOST_AUTO_TEST_CASE(never_reuses_a_version) {
  auto First = write(0, 1);
  auto Removed = write(First.Version, nullptr);
  BOOST_TEST(row().Version == 0U);
  auto Again = write(0, 1);
  BOOST_TEST(Again.Version > Removed.Version);
}

BOOST_AUTO_TEST_CASE(is_not_done_when_the_platform_rejects_it) {
  BOOST_TEST(request("POST", "/transactions", "{}").substr(0, 3) == "400");
  BOOST_TEST(Platform.counters().Writes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(tables_objects_and_hosts, fixture)

BOOST_AUTO_TEST_CASE(a_table_read_returns_its_rows_only) {
  write(0, 1);
  Client.execute(base::store_transaction{{}, {{{"slots", "0"}, 5}}}, soon());
  auto Answer = Client.execute(base::read_table{"slots"}, soon());
  BOOST_REQUIRE_EQUAL(Answer.Rows.size(), 1U);
  BOOST_TEST((Answer.Rows[0].Key == base::row_key{"slots", "0"}));
}

BOOST_AUTO_TEST_CASE(objects_are_returned_as_put) {
  BOOST_TEST(!Client.getObject("audit/1", soon())->has_value());
  std::string Content("a\0b\xff", 4);
  BOOST_TEST(!Client.putObject("audit/1", Content, soon()));
  BOOST_TEST(Client.getObject("audit/1", soon())->value() == Content);
}

BOOST_AUTO_TEST_CASE(the_host_list_is_set_over_http) {
  BOOST_TEST(request("POST", "/hosts",
                     R"([{"host":"host-1","state":"live"},)"
                     R"({"host":"127.0.0.1:5501","state":"leaving"}])") ==
             "200 {}");
  auto Hosts = Client.readHosts(soon());
  BOOST_REQUIRE(Hosts.hasValue());
  std::vector<base::listed_host> Expected{
      {"host-1", base::listed_host_state::Live},
      {"127.0.0.1:5501", base::listed_host_state::Leaving}};
  BOOST_TEST((*Hosts == Expected));
}

BOOST_AUTO_TEST_CASE(counters_tell_reads_writes_and_conflicts) {
  write(0, 1);
  write(0, 1);
  row();
  BOOST_TEST(request("GET", "/stand-in/counters", "") ==
             R"(200 {"reads":1,"writes":1,"conflicts":1})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(outages, fixture)

// Guards against reporting an effect that cannot have happened, and the
// reverse.
BOOST_AUTO_TEST_CASE(a_refused_connection_means_not_done) {
  std::string Closed;
  {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    Closed = Socket.address().toString();
  }
  table_client Alone(Closed);
  auto Answer = Alone.execute(base::read_row{Key}, soon());
  BOOST_TEST((Answer.Outcome == store_outcome::NotDone));
  BOOST_TEST((Answer.Failure.Code == std::errc::connection_refused));
  BOOST_TEST(Answer.Failure.Step == "read table row");
  BOOST_TEST(Answer.Failure.Peer == Closed);
}

BOOST_AUTO_TEST_CASE(a_deadline_in_the_past_sends_nothing) {
  auto Answer = Client.execute(base::store_transaction{{}, {{Key, 1}}},
                               base::monotonic_clock::now());
  BOOST_TEST((Answer.Outcome == store_outcome::NotDone));
  BOOST_TEST(row().Version == 0U);
}

BOOST_AUTO_TEST_CASE(a_malformed_address_is_a_failure_with_its_step) {
  auto Hosts = table_client("nowhere:x").readHosts(soon());
  BOOST_REQUIRE(!Hosts.hasValue());
  BOOST_TEST(Hosts.error().Step == "read host list");
  BOOST_TEST(Hosts.error().Peer == "nowhere:x");
}

BOOST_AUTO_TEST_CASE(down_has_no_effect_and_is_unknown_to_the_client) {
  BOOST_TEST(request("POST", "/stand-in/faults", R"({"mode":"down"})") ==
             "200 {}");
  BOOST_TEST((write(0, 1).Outcome == store_outcome::Unknown));
  setMode(stand_in_fault_mode::None);
  BOOST_TEST(row().Version == 0U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_leaves_the_effect) {
  setMode(stand_in_fault_mode::LoseAnswers);
  BOOST_TEST((write(0, 1).Outcome == store_outcome::Unknown));
  setMode(stand_in_fault_mode::None);
  BOOST_TEST(row().Value == 1);
}

BOOST_AUTO_TEST_CASE(a_paused_platform_times_out_as_unknown) {
  write(0, 1);
  setMode(stand_in_fault_mode::Pause);
  auto Deadline = base::monotonic_clock::now() + std::chrono::milliseconds(30);
  auto Answer = Client.execute(base::read_row{Key}, Deadline);
  BOOST_TEST((Answer.Outcome == store_outcome::Unknown));
  BOOST_TEST((Answer.Failure.Code == std::errc::timed_out));
  setMode(stand_in_fault_mode::None);
  BOOST_TEST(row().Value == 1);
}

BOOST_AUTO_TEST_CASE(a_slow_platform_answers) {
  Platform.setFault({stand_in_fault_mode::Slow, std::chrono::milliseconds(5)});
  BOOST_TEST((write(0, 1).Outcome == store_outcome::Done));
}

// Guards against a kept-alive connection that a restarted platform closed.
BOOST_AUTO_TEST_CASE(a_restarted_platform_is_reached_again) {
  auto First = std::make_unique<stand_in_platform>();
  std::string Address = First->address();
  table_client Other(Address);
  BOOST_REQUIRE(Other.readHosts(soon()).hasValue());
  First.reset();
  auto Port = Poco::Net::SocketAddress(Address).port();
  stand_in_platform Second(Port);
  BOOST_TEST(Other.readHosts(soon()).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
