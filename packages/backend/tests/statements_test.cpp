#include "group_fixture.h"
#include "radishrelay/backend/backend_error.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::backend;
using namespace radishrelay::backend::tests;

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_run_of_statements, group_fixture)

BOOST_AUTO_TEST_SUITE(that_succeeds)

// Guards against results that are lost, reordered or typed wrongly.
BOOST_AUTO_TEST_CASE(returns_one_result_per_statement) {
  connection_id Primary = Client.open(Group.address(0));
  auto Results = Client.expectRun(
      Primary, {sql("BEGIN"), insertPermit("7"),
                sql("SELECT id, status, $2 AS remark FROM permits "
                    "WHERE id = $1",
                    {"7", std::nullopt}),
                sql("COMMIT")});
  BOOST_REQUIRE_EQUAL(Results.size(), 4U);
  BOOST_TEST(Results[1].Affected == 1U);
  result_set Expected{
      {"id", "status", "remark"}, {{"7", "filed", std::nullopt}}, 0};
  BOOST_TEST((Results[2] == Expected));
}

// Guards against a group call whose text the decisions cannot parse.
BOOST_AUTO_TEST_CASE(returns_the_status_of_the_instance) {
  connection_id Primary = Client.open(Group.address(0));
  auto Results = Client.expectRun(Primary, {insertPermit("1")});
  Results = Client.expectRun(Primary, {sql("SELECT group_status()")});
  auto Status = groups::parseInstanceStatus(*Results.at(0).Rows.at(0).at(0));
  BOOST_REQUIRE(Status.hasValue());
  BOOST_TEST((Status->Role == groups::instance_role::Primary));
  BOOST_TEST((Status->Position == groups::log_position{1, 2}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_error_in_the_middle)

// Guards against a pipeline that goes on after an error, or leaves the
// statements before it in effect.
BOOST_AUTO_TEST_CASE(skips_the_rest_and_undoes_the_start) {
  connection_id Primary = Client.open(Group.address(0));
  run_finished Finished = Client.run(
      Primary, {insertPermit("1"), insertPermit("1"), insertPermit("2")});
  BOOST_TEST(Finished.Failure.Code == backend_error::StatementFailed);
  BOOST_TEST(Finished.Failure.Peer == Group.address(0));
  BOOST_TEST(Finished.SqlState == "23505");
  BOOST_TEST(Finished.Results.size() == 1U);
  BOOST_TEST(!Finished.InTransaction);
  BOOST_TEST(permitsAt(0) == "0");
}

// Guards against a connection that is unusable after a refused statement, and
// against a transaction block that the pool does not know of.
BOOST_AUTO_TEST_CASE(leaves_the_connection_usable) {
  connection_id Primary = Client.open(Group.address(0));
  run_finished Finished =
      Client.run(Primary, {sql("BEGIN"), sql("SELECT * FROM absent")});
  BOOST_TEST(Finished.SqlState == "42P01");
  BOOST_TEST(Finished.InTransaction);
  Finished = Client.run(Primary, {sql("SELECT 1")});
  BOOST_TEST(Finished.SqlState == "25P02");
  Client.expectRun(Primary, {sql("ROLLBACK"), sql("DISCARD ALL")});
  Client.expectRun(Primary, {insertPermit("1")});
  BOOST_TEST(permitsAt(0) == "1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_cannot_be_sent)

// Guards against a refusal that does not say that nothing was sent.
BOOST_AUTO_TEST_CASE(is_refused_as_not_reached) {
  connection_id Primary = Client.open(Group.address(0));
  std::string ZeroByte("a\0b", 3);
  run_finished Finished = Client.run(Primary, {sql("SELECT $1", {ZeroByte})});
  BOOST_TEST(Finished.Failure.Code == backend_error::InvalidStatement);
  BOOST_TEST(!Finished.MayHaveReached);
  Finished = Client.run(Primary, {sql("SELECT 1")}, base::time_point());
  BOOST_TEST(Finished.Failure.Code == backend_error::TimedOut);
  BOOST_TEST(!Finished.MayHaveReached);
  Finished = Client.run(Primary + 1, {sql("SELECT 1")});
  BOOST_TEST(Finished.Failure.Code == backend_error::NotOpen);
  BOOST_TEST(!Finished.MayHaveReached);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
