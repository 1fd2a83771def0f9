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

// Sufficient on a heavily loaded machine; no test case waits for it to expire.
constexpr std::chrono::seconds TestTimeout(20);

base::time_point testDeadline() {
  return base::monotonic_clock::now() + TestTimeout;
}

struct platform_fixture {
  stand_in_platform Platform;
  table_client Client{Platform.address()};
  base::row_key Key{"configuration", "current"};

  base::store_answer write(base::row_version Expected,
                           const base::json &Value) {
    return Client.execute(
        base::store_transaction{{{Key, Expected}}, {{Key, Value}}},
        testDeadline());
  }
  base::table_row readRow() {
    auto Answer = Client.execute(base::read_row{Key}, testDeadline());
    BOOST_REQUIRE(Answer.Outcome == store_outcome::Done);
    return Answer.Rows.at(0);
  }
  void setFaultMode(stand_in_fault_mode Mode) { Platform.setFault({Mode}); }
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

BOOST_AUTO_TEST_SUITE(platform_http_api)

BOOST_FIXTURE_TEST_SUITE(transactions, platform_fixture)

// Guards against a transaction that ignores its conditions.
BOOST_AUTO_TEST_CASE(transaction_takes_effect_only_if_its_conditions_hold) {
  auto First = write(0, {{"n", 1}});
  BOOST_REQUIRE(First.Outcome == store_outcome::Done);
  auto Second = write(0, {{"n", 2}});
  BOOST_REQUIRE(Second.Outcome == store_outcome::Conflict);
  BOOST_TEST(
      (Second.Rows.at(0) == base::table_row{Key, First.Version, {{"n", 1}}}));
  BOOST_TEST(readRow().Value["n"] == 1);
}

// Guards against a partially applied transaction.
BOOST_AUTO_TEST_CASE(transaction_writes_all_rows_or_none) {
  base::row_key Other{"configuration_history", "1/a b%"};
  base::store_transaction Both{{{Key, 0}, {Other, 7}}, {{Key, 1}, {Other, 2}}};
  BOOST_TEST((Client.execute(Both, testDeadline()).Outcome ==
              store_outcome::Conflict));
  BOOST_TEST(readRow().Version == 0U);
  Both.Conditions[1].Version = 0;
  auto Answer = Client.execute(Both, testDeadline());
  BOOST_REQUIRE(Answer.Outcome == store_outcome::Done);
  auto Read = Client.execute(base::read_row{Other}, testDeadline());
  BOOST_TEST((Read.Rows.at(0) == base::table_row{Other, Answer.Version, 2}));
}

// Guards against a row that is removed, created again and then has a version
// that it had before, so that an outdated condition holds.
BOOST_AUTO_TEST_CASE(recreated_row_gets_a_higher_version) {
  auto First = write(0, 1);
  auto Removed = write(First.Version, nullptr);
  BOOST_TEST(readRow().Version == 0U);
  auto Again = write(0, 1);
  BOOST_TEST(Again.Version > Removed.Version);
}

BOOST_AUTO_TEST_CASE(malformed_transaction_is_rejected_and_writes_nothing) {
  BOOST_TEST(request("POST", "/transactions", "{}").substr(0, 3) == "400");
  BOOST_TEST(Platform.counters().Writes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(tables_objects_and_hosts, platform_fixture)

BOOST_AUTO_TEST_CASE(table_read_returns_only_the_rows_of_that_table) {
  write(0, 1);
  Client.execute(base::store_transaction{{}, {{{"slots", "0"}, 5}}},
                 testDeadline());
  auto Answer = Client.execute(base::read_table{"slots"}, testDeadline());
  BOOST_REQUIRE_EQUAL(Answer.Rows.size(), 1U);
  BOOST_TEST((Answer.Rows[0].Key == base::row_key{"slots", "0"}));
}

BOOST_AUTO_TEST_CASE(object_content_is_returned_unchanged) {
  BOOST_TEST(!Client.getObject("audit/1", testDeadline())->has_value());
  std::string Content("a\0b\xff", 4);
  BOOST_TEST(!Client.putObject("audit/1", Content, testDeadline()));
  BOOST_TEST(Client.getObject("audit/1", testDeadline())->value() == Content);
}

BOOST_AUTO_TEST_CASE(host_list_set_over_http_is_returned_to_the_client) {
  BOOST_TEST(request("POST", "/hosts",
                     R"([{"host":"host-1","state":"live"},)"
                     R"({"host":"127.0.0.1:5501","state":"leaving"}])") ==
             "200 {}");
  auto Hosts = Client.readHosts(testDeadline());
  BOOST_REQUIRE(Hosts.hasValue());
  std::vector<base::listed_host> Expected{
      {"host-1", base::listed_host_state::Live},
      {"127.0.0.1:5501", base::listed_host_state::Leaving}};
  BOOST_TEST((*Hosts == Expected));
}

BOOST_AUTO_TEST_CASE(counters_report_reads_writes_and_conflicts) {
  write(0, 1);
  write(0, 1);
  readRow();
  BOOST_TEST(request("GET", "/stand-in/counters", "") ==
             R"(200 {"reads":1,"writes":1,"conflicts":1})");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(outages, platform_fixture)

// Guards against reporting a request that was never sent as possibly executed,
// and a request that may have been executed as not done.
BOOST_AUTO_TEST_CASE(refused_connection_is_reported_as_not_done) {
  std::string UnusedAddress;
  {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    UnusedAddress = Socket.address().toString();
  }
  table_client ClientOfUnusedAddress(UnusedAddress);
  auto Answer =
      ClientOfUnusedAddress.execute(base::read_row{Key}, testDeadline());
  BOOST_TEST((Answer.Outcome == store_outcome::NotDone));
  BOOST_TEST((Answer.Failure.Code == std::errc::connection_refused));
  BOOST_TEST(Answer.Failure.Step == "read table row");
  BOOST_TEST(Answer.Failure.Peer == UnusedAddress);
}

BOOST_AUTO_TEST_CASE(expired_deadline_sends_no_request) {
  auto Answer = Client.execute(base::store_transaction{{}, {{Key, 1}}},
                               base::monotonic_clock::now());
  BOOST_TEST((Answer.Outcome == store_outcome::NotDone));
  BOOST_TEST(readRow().Version == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_address_fails_with_step_and_peer) {
  auto Hosts = table_client("nowhere:x").readHosts(testDeadline());
  BOOST_REQUIRE(!Hosts.hasValue());
  BOOST_TEST(Hosts.error().Step == "read host list");
  BOOST_TEST(Hosts.error().Peer == "nowhere:x");
}

BOOST_AUTO_TEST_CASE(
    write_while_platform_is_down_has_no_effect_and_unknown_outcome) {
  BOOST_TEST(request("POST", "/stand-in/faults", R"({"mode":"down"})") ==
             "200 {}");
  BOOST_TEST((write(0, 1).Outcome == store_outcome::Unknown));
  setFaultMode(stand_in_fault_mode::None);
  BOOST_TEST(readRow().Version == 0U);
}

BOOST_AUTO_TEST_CASE(
    write_with_a_lost_answer_takes_effect_and_has_unknown_outcome) {
  setFaultMode(stand_in_fault_mode::LoseAnswers);
  BOOST_TEST((write(0, 1).Outcome == store_outcome::Unknown));
  setFaultMode(stand_in_fault_mode::None);
  BOOST_TEST(readRow().Value == 1);
}

BOOST_AUTO_TEST_CASE(
    request_to_a_paused_platform_times_out_with_unknown_outcome) {
  write(0, 1);
  setFaultMode(stand_in_fault_mode::Pause);
  auto Deadline = base::monotonic_clock::now() + std::chrono::milliseconds(30);
  auto Answer = Client.execute(base::read_row{Key}, Deadline);
  BOOST_TEST((Answer.Outcome == store_outcome::Unknown));
  BOOST_TEST((Answer.Failure.Code == std::errc::timed_out));
  setFaultMode(stand_in_fault_mode::None);
  BOOST_TEST(readRow().Value == 1);
}

BOOST_AUTO_TEST_CASE(write_to_a_slow_platform_succeeds) {
  Platform.setFault({stand_in_fault_mode::Slow, std::chrono::milliseconds(5)});
  BOOST_TEST((write(0, 1).Outcome == store_outcome::Done));
}

// Guards against a request that fails because the platform has closed the
// kept-alive connection on its restart.
BOOST_AUTO_TEST_CASE(client_reconnects_after_a_platform_restart) {
  auto First = std::make_unique<stand_in_platform>();
  std::string Address = First->address();
  table_client Other(Address);
  BOOST_REQUIRE(Other.readHosts(testDeadline()).hasValue());
  First.reset();
  auto Port = Poco::Net::SocketAddress(Address).port();
  stand_in_platform Second(Port);
  BOOST_TEST(Other.readHosts(testDeadline()).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
