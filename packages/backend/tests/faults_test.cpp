#include "group_fixture.h"
#include "radishrelay/backend/backend_error.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::backend;
using namespace radishrelay::backend::tests;

constexpr base::duration LongerThanAnyTest = std::chrono::minutes(10);

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_connection, group_fixture)

BOOST_AUTO_TEST_SUITE(that_goes_silent)

// Guards against a run that never ends and a connection that is used again.
BOOST_AUTO_TEST_CASE(ends_its_run_at_the_deadline_and_is_closed) {
  connection_id Silent = Client.open(Group.address(0));
  Group.silence(0);
  run_finished Finished = Client.run(Silent, {sql("SELECT 1")}, nearDeadline());
  BOOST_TEST(Finished.Failure.Code == backend_error::TimedOut);
  BOOST_TEST((Finished.Failure.Code == std::errc::timed_out));
  BOOST_TEST(Finished.Failure.Step == "run statements");
  BOOST_TEST(Finished.MayHaveReached);
  auto Closed = Client.awaitEvent<connection_closed>();
  BOOST_TEST(Closed.Connection == Silent);
  BOOST_TEST(Closed.Failure.Code == backend_error::TimedOut);
  Finished = Client.run(Silent, {sql("SELECT 1")});
  BOOST_TEST(Finished.Failure.Code == backend_error::NotOpen);
  Client.expectRun(Client.open(Group.address(0)), {sql("SELECT 1")});
}

// Guards against the lock of a silent client that blocks all other writers.
BOOST_AUTO_TEST_CASE(does_not_keep_its_locks) {
  connection_id Silent = Client.open(Group.address(0));
  Client.expectRun(Silent, {sql("BEGIN"), insertPermit("1")});
  Group.silence(0);
  file(Client.open(Group.address(0)), "1");
  BOOST_TEST(permitsAt(0) == "1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_answer_is_late)

// Guards against the answer of one run being delivered to another (P8).
BOOST_AUTO_TEST_CASE(never_gives_it_to_another_run) {
  connection_id Late = Client.open(Group.address(0));
  Group.delayAnswers(0, std::chrono::seconds(2));
  run_finished A =
      Client.run(Late, {sql("SELECT 'answer of A'")}, nearDeadline());
  BOOST_TEST(A.Failure.Code == backend_error::TimedOut);
  BOOST_TEST(A.Results.empty());
  Group.delayAnswers(0, base::duration::zero());
  connection_id Next = Client.open(Group.address(0));
  auto B = Client.expectRun(Next, {sql("SELECT 'answer of B'")});
  BOOST_TEST(*B.at(0).Rows.at(0).at(0) == "answer of B");
  Client.awaitEvent<connection_closed>();
  Client.close(Next);
  Client.awaitEvent<connection_closed>();
  BOOST_TEST(Client.stop() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_lost)

// Guards against a commit reported as not run, or as done without an answer.
BOOST_AUTO_TEST_CASE(after_a_commit_leaves_the_outcome_open) {
  connection_id Lost = Client.open(Group.address(0));
  Group.loseNextCommitAnswer(0);
  run_finished Finished =
      Client.run(Lost, {sql("BEGIN"), insertPermit("1"), sql("COMMIT")});
  BOOST_TEST(Finished.Failure.Code == backend_error::ConnectionLost);
  BOOST_TEST(Finished.MayHaveReached);
  BOOST_TEST(Finished.Results.empty());
  Client.awaitEvent<connection_closed>();
  BOOST_TEST(permitsAt(0) == "1");
  file(Client.open(Group.address(0)), "2");
}

// Guards against a pool that keeps dead connections, and against a kill that
// leaves the transaction in effect.
BOOST_AUTO_TEST_CASE(with_its_instance_ends_all_runs) {
  connection_id Idle = Client.open(Group.address(0));
  connection_id Busy = Client.open(Group.address(0));
  Client.expectRun(Idle, {sql("BEGIN"), insertPermit("1")});
  Group.delayAnswers(0, LongerThanAnyTest);
  run_id Run = Client.startRun(Busy, {sql("SELECT 1")});
  auto HasArrived = [](const std::vector<stand_in_report> &Reports) {
    return Reports[0].Statements == 2;
  };
  BOOST_REQUIRE(Group.waitUntil(HasArrived, farDeadline()));
  Group.kill(0);
  auto Finished = Client.awaitEvent<run_finished>();
  BOOST_TEST(Finished.Run == Run);
  BOOST_TEST(Finished.Failure.Code == backend_error::ConnectionLost);
  Client.awaitEvent<connection_closed>();
  Client.awaitEvent<connection_closed>();
  connection_id Refused = Client.startOpen(Group.address(0));
  auto Closed = Client.awaitEvent<connection_closed>();
  BOOST_TEST(Closed.Connection == Refused);
  BOOST_TEST(Closed.Failure.Code == backend_error::ConnectFailed);
  BOOST_TEST(Closed.Failure.Peer == Group.address(0));
  Group.delayAnswers(0, base::duration::zero());
  Group.revive(0);
  Client.expectRun(Client.open(Group.address(0)), {sql("SELECT 1")});
  BOOST_TEST(permitsAt(0) == "0");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_closed_by_command)

// Guards against a cancelled run without an end, or with two.
BOOST_AUTO_TEST_CASE(ends_its_run_first) {
  connection_id Busy = Client.open(Group.address(0));
  Group.delayAnswers(0, LongerThanAnyTest);
  Client.startRun(Busy, {sql("SELECT 1")});
  Client.close(Busy);
  BOOST_TEST(Client.awaitEvent<run_finished>().Failure.Code ==
             backend_error::Closed);
  BOOST_TEST(Client.awaitEvent<connection_closed>().Failure.Code ==
             backend_error::Closed);
  BOOST_TEST(Client.stop() == 0U);
}

// Guards against a stop that leaves runs without an end.
BOOST_AUTO_TEST_CASE(by_the_end_of_the_thread_as_well) {
  connection_id Busy = Client.open(Group.address(0));
  Group.delayAnswers(0, LongerThanAnyTest);
  Client.startRun(Busy, {sql("SELECT 1")});
  Client.startOpen(Group.address(1));
  BOOST_TEST(Client.stop() >= 3U);
  BOOST_TEST(Client.awaitEvent<run_finished>().Connection == Busy);
  Client.awaitEvent<connection_closed>();
  Client.awaitEvent<connection_closed>();
}

// Guards against two runs in one pipeline, whose answers could be confused.
BOOST_AUTO_TEST_CASE(refuses_a_second_run_until_then) {
  connection_id Busy = Client.open(Group.address(0));
  Group.delayAnswers(0, LongerThanAnyTest);
  Client.startRun(Busy, {sql("SELECT 1")});
  run_finished Second = Client.run(Busy, {sql("SELECT 2")});
  BOOST_TEST(Second.Failure.Code == backend_error::ConnectionBusy);
  BOOST_TEST(!Second.MayHaveReached);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_cannot_be_opened)

// Guards against a connection attempt without an end.
BOOST_AUTO_TEST_CASE(is_reported_at_the_deadline) {
  Group.delayAnswers(0, LongerThanAnyTest);
  Client.startOpen(Group.address(0), nearDeadline());
  auto Closed = Client.awaitEvent<connection_closed>();
  BOOST_TEST(Closed.Failure.Code == backend_error::TimedOut);
  BOOST_TEST(Closed.Failure.Step == "connect");
}

// Guards against an address that stops the thread.
BOOST_AUTO_TEST_CASE(is_reported_for_a_malformed_address) {
  for (const char *Address : {"", "no address", "127.0.0.1:x"}) {
    Client.startOpen(Address);
    BOOST_TEST(Client.awaitEvent<connection_closed>().Failure.Code ==
               backend_error::ConnectFailed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
