#include "group_fixture.h"
#include "radishrelay/backend/backend_error.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace {

using namespace radishrelay;
using namespace radishrelay::backend;
using namespace radishrelay::backend::tests;

statement countPermits() { return sql("SELECT count(*) FROM permits"); }

std::string onlyValue(const std::vector<result_set> &Results) {
  return Results.at(0).Rows.at(0).at(0).value_or("NULL");
}

stand_in_options limitedTo(std::size_t Connections) {
  stand_in_options Options = withPermits();
  Options.ConnectionLimit = Connections;
  return Options;
}

struct many_connections : group_fixture {
  static constexpr std::size_t Count = 200;
  many_connections() : group_fixture(limitedTo(Count)) {}
};

struct few_connections : group_fixture {
  few_connections() : group_fixture(limitedTo(1)) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(connections_to_one_instance)

BOOST_FIXTURE_TEST_SUITE(in_transactions, group_fixture)

// Guards against reads of data that is not committed (P3).
BOOST_AUTO_TEST_CASE(see_only_their_own_changes_before_commit) {
  connection_id Writer = Client.open(Group.address(0));
  connection_id Reader = Client.open(Group.address(0));
  Client.expectRun(Writer, {sql("BEGIN"), insertPermit("1")});
  BOOST_TEST(onlyValue(Client.expectRun(Writer, {countPermits()})) == "1");
  BOOST_TEST(onlyValue(Client.expectRun(Reader, {countPermits()})) == "0");
  Client.expectRun(Writer, {sql("COMMIT")});
  BOOST_TEST(onlyValue(Client.expectRun(Reader, {countPermits()})) == "1");
}

// Guards against two write transactions that mix (P3).
BOOST_AUTO_TEST_CASE(write_one_after_the_other) {
  connection_id First = Client.open(Group.address(0));
  connection_id Second = Client.open(Group.address(0));
  Client.expectRun(First, {sql("BEGIN"), insertPermit("1")});
  run_id Waiting = Client.startRun(Second, {insertPermit("2")});
  run_id Ending = Client.startRun(First, {sql("ROLLBACK")});
  std::set<run_id> Ended;
  for (int Run = 0; Run < 2; ++Run) {
    auto Finished = Client.awaitEvent<run_finished>();
    BOOST_TEST(!Finished.Failure);
    Ended.insert(Finished.Run);
  }
  BOOST_TEST((Ended == std::set<run_id>{Waiting, Ending}));
  auto Rows = Group.query(0, sql("SELECT id FROM permits"));
  BOOST_TEST((Rows == result_set{{"id"}, {{"2"}}, 0}));
}

// Guards against an error at the end of the pipeline that is taken for
// success: the raise comes after the write and before its commit.
BOOST_AUTO_TEST_CASE(report_an_implicit_commit_that_fails) {
  connection_id Writer = Client.open(Group.address(0));
  run_finished Finished = Client.run(
      Writer, {insertPermit("1"), sql("SELECT group_raise_term($1)", {"2"})});
  BOOST_TEST(Finished.SqlState == "55000");
  BOOST_TEST(permitsAt(0) == "0");
  Client.expectRun(Writer, {countPermits()});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(in_large_numbers, many_connections)

// Guards against results that reach another connection's run when hundreds
// are in use at once.
BOOST_AUTO_TEST_CASE(each_get_their_own_answer) {
  std::vector<connection_id> Ids;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Ids.push_back(Client.startOpen(Group.address(0)));
  for (std::size_t Index = 0; Index < Count; ++Index)
    Client.awaitEvent<connection_opened>();
  for (connection_id Id : Ids)
    Client.startRun(Id, {sql("SELECT $1", {std::to_string(Id)})});
  std::set<connection_id> Answered;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    auto Finished = Client.awaitEvent<run_finished>();
    BOOST_REQUIRE(!Finished.Failure);
    BOOST_TEST(onlyValue(Finished.Results) ==
               std::to_string(Finished.Connection));
    Answered.insert(Finished.Connection);
  }
  BOOST_TEST(Answered.size() == Count);
  BOOST_TEST(Group.reports()[0].MostConnections == Count);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(above_the_limit, few_connections)

// Guards against a limit that is not enforced or keeps refusing.
BOOST_AUTO_TEST_CASE(are_refused_until_one_is_closed) {
  connection_id Only = Client.open(Group.address(0));
  Client.startOpen(Group.address(0));
  auto Refused = Client.awaitEvent<connection_closed>();
  BOOST_TEST(Refused.Failure.Code == backend_error::ConnectFailed);
  BOOST_TEST(Refused.Failure.Detail.find("too many clients") !=
             std::string::npos);
  Client.close(Only);
  auto IsFree = [](const std::vector<stand_in_report> &Reports) {
    return Reports[0].Connections == 0;
  };
  BOOST_REQUIRE(Group.waitUntil(IsFree, farDeadline()));
  Client.open(Group.address(0));
  BOOST_TEST(Group.reports()[0].RefusedConnections == 1U);
  BOOST_TEST(Group.reports()[0].MostConnections == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_are_recorded, group_fixture)

// Guards against a recorder that misses bytes: tests look for keys in it.
BOOST_AUTO_TEST_CASE(appear_with_all_that_they_sent) {
  connection_id Connection = Client.open(Group.address(0));
  Client.expectRun(Connection, {sql("SELECT $1", {"marker-parameter"})});
  std::string Record = Group.recordedBytes(0);
  for (const char *Part : {"records", "SELECT $1", "marker-parameter"})
    BOOST_TEST(Record.find(Part) != std::string::npos);
  BOOST_TEST(Group.recordedBytes(1).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
