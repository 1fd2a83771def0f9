#include "fakes/scripted_group.h"

#include "radishrelay/groups/transaction_handle_codec.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::daemon;
using radishrelay::daemon::fakes::scripted_group;
namespace base = radishrelay::base;
namespace groups = radishrelay::groups;

/// Index of the status in the run of each kind of request; NoStatus for a run
/// that returns none.
constexpr std::size_t OpenStatus = 1;
constexpr std::size_t WriteStatus = 3;
constexpr std::size_t CommitStatus = 1;
constexpr std::size_t StatementStatus = 0;
constexpr std::size_t NoStatus = 99;

} // namespace

BOOST_AUTO_TEST_SUITE(requests_of_a_database_group)

BOOST_AUTO_TEST_SUITE(a_write_with_an_idempotency_key)

/// A keyed write whose commit was sent but not answered, on an instance that
/// accepts no new connection.
struct attempt_without_answer : scripted_group {
  attempt_without_answer() {
    Task = write("f1", 200);
    advanceTime(30);
    completeRun(NoStatus);
    AcceptsConnections = false;
    failRun("");
    advanceTime(40);
  }
  request_task_ptr Task;
};

// Guards against reporting "not run" for a write whose commit may have taken
// effect, when its retry gets no connection before the deadline (P9).
BOOST_FIXTURE_TEST_CASE(has_unknown_outcome_when_its_retry_expires_in_the_queue,
                        attempt_without_answer) {
  BOOST_TEST(!answered(Task));
  advanceTime(200);
  BOOST_TEST(ran(Task) == "unknown");
}

// Guards against a task that is in no queue and never ends after its caller has
// disconnected.
BOOST_FIXTURE_TEST_CASE(ends_when_its_caller_disconnects_before_the_retry,
                        attempt_without_answer) {
  Group.cancel(*Task, Now);
  advanceTime(200);
  BOOST_TEST(Group.taskCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_session)

// Guards against a session position that names no log entry: after a failover
// to a log without that term, it would count as lost or as contained in the
// other log.
BOOST_FIXTURE_TEST_CASE(gets_the_position_of_the_last_log_entry,
                        scripted_group) {
  for (auto &[Index, Status] : Statuses) {
    Status.Position = {2, 10};
    Status.RaisedTerm = 2;
    Status.TermStarts = {{1, 0}, {2, 12}};
  }
  advanceTime(250);
  request_task_ptr Task = write();
  advanceTime(30);
  completeRun(WriteStatus);
  auto Position = Task->SessionPosition;
  BOOST_TEST((Position == groups::log_position{1, 10}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance)

// Guards against writes that wait in vain because the instance was already
// leaving when it was promoted, and a leaving instance gets no work.
BOOST_FIXTURE_TEST_CASE(that_leaves_gets_writes_once_it_is_promoted,
                        scripted_group) {
  Group.setLeaving(base::instance_id("p2"), true, Now);
  Statuses[0].Role = groups::instance_role::Replica;
  Statuses[1].Role = groups::instance_role::Primary;
  for (auto &[Index, Status] : Statuses)
    Status = {Status.Role, {2, 10}, 2, {{1, 0}, {2, 10}}, base::duration(0)};
  advanceTime(300);
  write();
  advanceTime(30);
  BOOST_REQUIRE(PendingRuns.size() == 1U);
  BOOST_TEST(instanceOf(PendingRuns[0].Connection) == 1U);
}

// Guards against work on a leaving instance that was replaced as the primary
// (P11).
BOOST_FIXTURE_TEST_CASE(that_leaves_gets_no_work_once_it_is_no_longer_primary,
                        scripted_group) {
  Group.setLeaving(base::instance_id("p1"), true, Now);
  write();
  advanceTime(30);
  BOOST_REQUIRE(PendingRuns.size() == 1U);
  completeRun(WriteStatus);
  Statuses[0].Role = groups::instance_role::Replica;
  Statuses[1].Role = groups::instance_role::Primary;
  for (auto &[Index, Status] : Statuses)
    Status = {Status.Role, {2, 10}, 2, {{1, 0}, {2, 10}}, base::duration(0)};
  advanceTime(300);
  BOOST_TEST(Group.dump()["instances"][0]["pool"]["leaving"] == true);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_transaction)

BOOST_AUTO_TEST_SUITE(that_is_open)

struct open_transaction : scripted_group {
  std::string Handle = openedHandle(200);
  request_task_ptr statement() {
    return inTransaction(caller_operation::RunRoute, Handle);
  }
  request_task_ptr commit() {
    return inTransaction(caller_operation::CommitTransaction, Handle);
  }
};

// Guards against requests that wait past their deadline for a transaction that
// holds the only work connection.
BOOST_FIXTURE_TEST_CASE(makes_other_writes_fail_at_their_deadline,
                        open_transaction) {
  request_task_ptr Task = write("", 100);
  advanceTime(99);
  BOOST_TEST(!answered(Task));
  advanceTime(1);
  BOOST_TEST(code(Task) == "queue_deadline");
  BOOST_TEST(ran(Task) == "no");
}

// Guards against an abandoned transaction that keeps its connection.
BOOST_FIXTURE_TEST_CASE(frees_its_connection_at_its_deadline,
                        open_transaction) {
  write();
  advanceTime(100);
  BOOST_TEST(PendingRuns.empty());
  advanceTime(120);
  BOOST_TEST((Resets == std::vector<std::string>{"ROLLBACK", "DISCARD ALL"}));
  BOOST_TEST(PendingRuns.size() == 1U);
}

// Guards against a caller that waits for a statement after the transaction has
// expired.
BOOST_FIXTURE_TEST_CASE(answers_its_running_statement_at_its_deadline,
                        open_transaction) {
  request_task_ptr Task = statement();
  advanceTime(210);
  BOOST_TEST(code(Task) == "transaction_lost");
  BOOST_TEST(ran(Task) == "no");
  completeRun(StatementStatus);
  BOOST_TEST(Transactions.openCount() == 0U);
}

// Guards against a second statement on a connection that already runs one (P3,
// P8).
BOOST_FIXTURE_TEST_CASE(runs_one_statement_at_a_time, open_transaction) {
  statement();
  request_task_ptr Second = statement();
  BOOST_TEST(code(Second) == "overloaded");
  BOOST_TEST(PendingRuns.size() == 1U);
}

// Guards against a handle that is still accepted after the connection was lost.
BOOST_FIXTURE_TEST_CASE(ends_with_its_connection, open_transaction) {
  statement();
  auto Connection = PendingRuns[0].Connection;
  completeRun(StatementStatus);
  close(Connection);
  request_task_ptr Next = commit();
  BOOST_TEST(code(Next) == "transaction_lost");
  BOOST_TEST(ran(Next) == "no");
}

// Guards against a stale answer from a replaced primary to a session that has
// seen writes of its successor (P1).
BOOST_FIXTURE_TEST_CASE(ends_when_its_instance_lacks_writes_of_the_session,
                        open_transaction) {
  request_task_ptr Task = statement();
  Task->Session.merge(base::group_id("permits"), {2, 12});
  completeRun(StatementStatus);
  BOOST_TEST(code(Task) == "transaction_lost");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_commits, that_is_open::open_transaction)

// Guards against acknowledging a commit that a failover could lose (P2).
BOOST_AUTO_TEST_CASE(is_answered_when_a_majority_has_the_commit) {
  Statuses[0].Position = {1, 12};
  request_task_ptr Task = commit();
  completeRun(CommitStatus);
  advanceTime(20);
  BOOST_TEST(!answered(Task));
  Statuses[1].Position = {1, 12};
  advanceTime(20);
  BOOST_TEST(Answers.at(Task->Id).Body == "{\"committed\":true}");
  request_task_ptr Again = commit();
  advanceTime(20);
  BOOST_TEST(Answers.at(Again->Id).Body == "{\"committed\":true}");
  BOOST_TEST(PendingRuns.empty());
}

// Guards against reporting "not run" or "committed" when the commit was not
// answered (P9).
BOOST_AUTO_TEST_CASE(has_unknown_outcome_without_an_answer) {
  request_task_ptr Task = commit();
  failRun("");
  BOOST_TEST(code(Task) == "outcome_unknown");
  BOOST_TEST(ran(Task) == "unknown");
}

// Guards against reporting success for a commit that a replaced primary refused
// (P2).
BOOST_AUTO_TEST_CASE(is_refused_by_a_replaced_primary) {
  request_task_ptr Task = commit();
  failRun("55000");
  BOOST_TEST(code(Task) == "statement_failed");
  BOOST_TEST(ran(Task) == "no");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_is_being_opened, scripted_group)

// Guards against a connection that stays held although no caller received the
// transaction handle.
BOOST_AUTO_TEST_CASE(is_rolled_back_when_its_caller_disconnects) {
  request_task_ptr Task = open();
  advanceTime(30);
  Group.cancel(*Task, Now);
  completeRun(OpenStatus);
  advanceTime(5);
  BOOST_TEST(Transactions.openCount() == 0U);
  BOOST_TEST((Resets == std::vector<std::string>{"ROLLBACK", "DISCARD ALL"}));
}

// Guards against opening a transaction on an instance that lacks writes of the
// session (P1).
BOOST_AUTO_TEST_CASE(waits_for_a_primary_that_holds_the_session) {
  caller_request Request;
  Request.Operation = caller_operation::OpenTransaction;
  request_task_ptr Task = task(std::move(Request), 100);
  Task->Session.merge(base::group_id("permits"), {2, 12});
  submit(Task);
  advanceTime(30);
  completeRun(OpenStatus);
  BOOST_TEST(Transactions.openCount() == 0U);
  advanceTime(30);
  completeRun(OpenStatus);
  BOOST_TEST(Transactions.openCount() == 0U);
  advanceTime(120);
  // The backend thread ends the run at the deadline.
  failRun("");
  advanceTime(1);
  BOOST_TEST(code(Task) == "no_primary");
  BOOST_TEST(ran(Task) == "no");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(of_another_host, scripted_group)

std::string handleOf(const scripted_group &Host) {
  return *Host.View->Transactions.encode({base::host_id("h2"), 7, 1});
}

// Guards against an answer from a host that does not hold the transaction.
BOOST_AUTO_TEST_CASE(is_forwarded_to_that_host) {
  request_task_ptr Task =
      inTransaction(caller_operation::RunRoute, handleOf(*this));
  BOOST_TEST((ForwardedTo == std::vector<std::string>{"h2"}));
  BOOST_TEST(!answered(Task));
}

// Guards against reporting "not run" for a commit that the unreachable host may
// have sent (P9).
BOOST_AUTO_TEST_CASE(is_lost_when_that_host_is_unreachable) {
  IsHostReachable = false;
  request_task_ptr Statement =
      inTransaction(caller_operation::RunRoute, handleOf(*this));
  BOOST_TEST(code(Statement) == "transaction_lost");
  BOOST_TEST(ran(Statement) == "no");
  request_task_ptr Commit =
      inTransaction(caller_operation::CommitTransaction, handleOf(*this));
  BOOST_TEST(ran(Commit) == "unknown");
}

// Guards against hosts that forward a request in a loop.
BOOST_AUTO_TEST_CASE(is_not_forwarded_twice) {
  caller_request Request;
  Request.Operation = caller_operation::RollbackTransaction;
  Request.Transaction = handleOf(*this);
  Request.IsForwarded = true;
  request_task_ptr Task = task(std::move(Request));
  Transactions.submit(Task, Now);
  BOOST_TEST(ForwardedTo.empty());
  BOOST_TEST(code(Task) == "transaction_lost");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
