#include "group_fixture.h"
#include "radishrelay/backend/stand_in_command.h"
#include "radishrelay/base/json.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::backend;
using namespace radishrelay::backend::tests;

statement raiseTo(const std::string &Term) {
  return sql("SELECT group_raise_term($1)", {Term});
}

statement promoteTo(const std::string &Term) {
  return sql("SELECT group_promote($1)", {Term});
}

groups::instance_status statusOf(const result_set &Result) {
  auto Status = groups::parseInstanceStatus(*Result.Rows.at(0).at(0));
  BOOST_REQUIRE(Status.hasValue());
  return *Status;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_database_group, group_fixture)

BOOST_AUTO_TEST_SUITE(with_a_healthy_primary)

// Guards against replicas that miss entries or report an age they cannot prove.
BOOST_AUTO_TEST_CASE(replicates_to_the_others) {
  connection_id Primary = Client.open(Group.address(0));
  file(Primary, "1");
  awaitPosition(2, {1, 2});
  BOOST_TEST(permitsAt(2) == "1");
  connection_id Replica = Client.open(Group.address(2));
  auto Results = Client.expectRun(Replica, {sql("SELECT group_status()")});
  BOOST_TEST(statusOf(Results.at(0)).AppliedAge.has_value());
}

// Guards against a lag that is not in force, or delays the other replica.
BOOST_AUTO_TEST_CASE(leaves_a_lagging_replica_behind) {
  Group.setLag(2, std::chrono::minutes(10));
  file(Client.open(Group.address(0)), "1");
  awaitPosition(1, {1, 2});
  BOOST_TEST(permitsAt(2) == "0");
  Group.setLag(2, base::duration::zero());
  awaitPosition(2, {1, 2});
}

// Guards against a second instance that accepts writes.
BOOST_AUTO_TEST_CASE(refuses_writes_on_a_replica) {
  connection_id Replica = Client.open(Group.address(1));
  run_finished Finished = Client.run(Replica, {insertPermit("1")});
  BOOST_TEST(Finished.SqlState == "25006");
  BOOST_TEST(permitsAt(1) == "0");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(raised_to_a_newer_term)

// Guards against writes of a replaced primary, also those that had begun.
BOOST_AUTO_TEST_CASE(fences_the_old_primary) {
  connection_id Writer = Client.open(Group.address(0));
  connection_id Other = Client.open(Group.address(0));
  Client.expectRun(Writer, {sql("BEGIN"), insertPermit("1")});
  auto Results = Client.expectRun(Other, {raiseTo("2")});
  BOOST_TEST(statusOf(Results.at(0)).RaisedTerm == 2U);
  BOOST_TEST(Client.run(Writer, {sql("COMMIT")}).SqlState == "55000");
  BOOST_TEST(Client.run(Other, {insertPermit("2")}).SqlState == "55000");
  BOOST_TEST(permitsAt(0) == "0");
}

// Guards against a term with two promoters or without a raise before it.
BOOST_AUTO_TEST_CASE(promotes_only_the_raised_term) {
  connection_id Replica = Client.open(Group.address(1));
  BOOST_TEST(Client.run(Replica, {promoteTo("2")}).SqlState == "55000");
  BOOST_TEST(Client.run(Replica, {raiseTo("1")}).SqlState == "55000");
  Client.expectRun(Replica, {raiseTo("2")});
  BOOST_TEST(Client.run(Replica, {raiseTo("2")}).SqlState == "55000");
  auto Results = Client.expectRun(Replica, {promoteTo("2")});
  groups::instance_status Status = statusOf(Results.at(0));
  BOOST_TEST((Status.Role == groups::instance_role::Primary));
  BOOST_TEST((Status.Position == groups::log_position{2, 1}));
  awaitPosition(0, {2, 1});
  BOOST_TEST(
      (Group.reports()[0].Status.Role == groups::instance_role::Replica));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_primary_died)

// Guards against an old primary that keeps entries nobody else has, or rows of
// theirs.
BOOST_AUTO_TEST_CASE(drops_the_tail_of_the_old_primary) {
  connection_id Old = Client.open(Group.address(0));
  file(Old, "1");
  awaitPosition(1, {1, 2});
  awaitPosition(2, {1, 2});
  Group.setCut(0, true);
  file(Old, "2");
  file(Old, "3");
  Group.kill(0);
  for (std::size_t Instance : {1, 2})
    Client.expectRun(Client.open(Group.address(Instance)), {raiseTo("2")});
  connection_id New = Client.open(Group.address(1));
  Client.expectRun(New, {promoteTo("2")});
  file(New, "4");
  Group.setCut(0, false);
  Group.revive(0);
  awaitPosition(0, {2, 3});
  auto Rows = Group.query(0, sql("SELECT id FROM permits ORDER BY id"));
  result_set Expected{{"id"}, {{"1"}, {"4"}}, 0};
  BOOST_TEST((Rows == Expected));
  std::vector<groups::log_position> Starts{{1, 0}, {2, 2}};
  BOOST_TEST((Group.reports()[0].Status.TermStarts == Starts));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_lagging_replica)

// Guards against the promotion of a replica that looks newer than the one with
// all entries because it has heard of a newer term.
BOOST_AUTO_TEST_CASE(keeps_it_in_the_old_term_until_it_has_the_entries) {
  Group.setLag(2, std::chrono::minutes(10));
  file(Client.open(Group.address(0)), "1");
  awaitPosition(1, {1, 2});
  connection_id New = Client.open(Group.address(1));
  Client.expectRun(New, {raiseTo("2"), promoteTo("2")});
  awaitPosition(0, {2, 2});
  groups::instance_status Lagging = Group.reports()[2].Status;
  BOOST_TEST((Lagging.Position == groups::log_position{1, 1}));
  BOOST_TEST(Lagging.RaisedTerm == 2U);
  Group.setLag(2, base::duration::zero());
  awaitPosition(2, {2, 2});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(controlled_by_text)

// Guards against a command that does something else than its method, and
// against malformed lines that stop the stand-in.
BOOST_AUTO_TEST_CASE(obeys_commands_and_refuses_others) {
  for (const char *Line :
       {"kill 1", "cut 0", "join 0", "silence 0", "lose-answer 0", "delay 0 0",
        "lag 2 5", "service-time 2 1"})
    BOOST_TEST(runStandInCommand(Group, Line).hasValue(), Line);
  for (const char *Line : {"", "kill", "kill 3", "kill x", "kill 1 1", "lag 1",
                           "lag 1 x", "explode 1"})
    BOOST_TEST(!runStandInCommand(Group, Line).hasValue(), Line);
  base::json Status = base::json::parse(*runStandInCommand(Group, "status"));
  BOOST_TEST(Status.at(0).at("alive").get<bool>());
  BOOST_TEST(!Status.at(1).at("alive").get<bool>());
  BOOST_TEST(Status.at(1).at("address").get<std::string>() == Group.address(1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
