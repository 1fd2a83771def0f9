#include "radishrelay/groups/request_error.h"
#include "radishrelay/groups/session_error.h"
#include "radishrelay/groups/session_token_codec.h"
#include "radishrelay/groups/transaction_handle_codec.h"
#include "radishrelay/groups/transaction_table.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::groups;
using namespace std::chrono_literals;
using radishrelay::base::account_id;
using radishrelay::base::group_id;
using radishrelay::base::host_id;
using radishrelay::base::time_point;

const time_point Start = radishrelay::base::fromMicroseconds(1'000'000);
const account_id Owner("installers");
const account_id Other("inspectors");
const attempt_end Succeeded{true, true, "", 2};
const attempt_end NoAnswer{false, true, "", 0};
const log_position End{2, 40};

transaction_reply lost(ran_state Ran) {
  return transaction_refusal{request_error::TransactionLost, Ran};
}

struct open_transaction_fixture {
  transaction_table Table{host_id("host-1"), 7};
  transaction_id Id = *Table.open(Owner, group_id("permits"), 11, Start + 5s);

  void sendCommit() {
    BOOST_TEST((Table.beginCommit(Id, Owner, Start) ==
                transaction_reply(use_connection{11})));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(transactions)

BOOST_AUTO_TEST_SUITE(transaction_handles)

const signing_key Key{"s1", "secret"};

// Guards against a client that accesses transactions by guessing handles.
BOOST_AUTO_TEST_CASE(are_authenticated) {
  transaction_handle_codec Handles({Key});
  transaction_id Id{host_id("host-1"), 7, 12};
  std::string Text = *Handles.encode(Id);
  BOOST_TEST((*Handles.decode(Text) == Id));
  Text[4] = Text[4] == 'A' ? 'B' : 'A';
  BOOST_TEST(!Handles.decode(Text));
}

// Guards against accepting a session token as a transaction handle.
BOOST_AUTO_TEST_CASE(cannot_be_replaced_by_session_tokens) {
  std::string Token = *session_token_codec({Key}).encode({Owner, {}, false, 0});
  BOOST_TEST((transaction_handle_codec({Key}).decode(Token).error().Code ==
              session_error::Forged));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_open_transaction, open_transaction_fixture)

// Guards against requests of one client that run in a transaction of another
// (P3).
BOOST_AUTO_TEST_CASE(does_not_exist_for_another_account) {
  BOOST_TEST((Table.beginStatement(Id, Other, Start) == lost(ran_state::No)));
  sendCommit();
  Table.requestEnded(Id.Number, Succeeded, End, Start);
  BOOST_TEST((Table.beginCommit(Id, Other, Start) == lost(ran_state::No)));
}

// Guards against two concurrent requests on one connection, each of which could
// receive the answer of the other.
BOOST_AUTO_TEST_CASE(runs_one_request_at_a_time) {
  Table.beginStatement(Id, Owner, Start);
  BOOST_TEST((Table.beginStatement(Id, Owner, Start) ==
              transaction_reply(transaction_refusal{
                  request_error::TransactionBusy, ran_state::No})));
}

// Guards against reporting a successful commit although the database rolls back
// after a failed statement.
BOOST_AUTO_TEST_CASE(cannot_commit_after_a_failed_statement) {
  Table.beginStatement(Id, Owner, Start);
  transaction_end Failed =
      Table.requestEnded(Id.Number, {false, true, "23503", 0}, {}, Start);
  BOOST_TEST(!Failed.Release.has_value());
  BOOST_TEST((Table.beginCommit(Id, Owner, Start) ==
              transaction_reply(transaction_refusal{
                  request_error::StatementFailed, ran_state::No})));
  BOOST_TEST((Table.beginRollback(Id, Owner, Start) ==
              transaction_reply(use_connection{11})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(transaction_commits, open_transaction_fixture)

// Guards against committing twice, or losing the result, when a client repeats
// a commit.
BOOST_AUTO_TEST_CASE(are_answered_with_the_same_position_when_repeated) {
  sendCommit();
  transaction_end Result = Table.requestEnded(Id.Number, Succeeded, End, Start);
  transaction_reply Finished = transaction_finished{true, End};
  BOOST_TEST((Result.Reply == Finished));
  BOOST_TEST((Result.Release->End == connection_release_state::NeedsReset));
  BOOST_TEST((Table.beginCommit(Id, Owner, Start) == Finished));
  BOOST_TEST((Table.beginRollback(Id, Owner, Start) == lost(ran_state::Yes)));
}

// Guards against reporting "not run" for a commit whose answer was lost (P9).
BOOST_AUTO_TEST_CASE(with_a_lost_answer_have_an_unknown_outcome) {
  sendCommit();
  transaction_reply Unknown =
      transaction_refusal{request_error::OutcomeUnknown, ran_state::Unknown};
  transaction_end Result = Table.requestEnded(Id.Number, NoAnswer, {}, Start);
  BOOST_TEST((Result.Reply == Unknown));
  BOOST_TEST((Result.Release->End == connection_release_state::Uncertain));
  BOOST_TEST((Table.beginCommit(Id, Owner, Start) == Unknown));
  BOOST_TEST((Table.beginRollback(Id, Owner, Start) == Unknown));
}

// Guards against reporting a commit as failed because the status query after it
// failed.
BOOST_AUTO_TEST_CASE(have_an_unknown_outcome_when_only_the_status_failed) {
  sendCommit();
  transaction_end Result =
      Table.requestEnded(Id.Number, {false, true, "42883", 1}, {}, Start);
  BOOST_TEST((Result.Reply ==
              transaction_reply(transaction_refusal{
                  request_error::OutcomeUnknown, ran_state::Unknown})));
}

// Guards against reporting an unknown outcome for a commit that was not sent.
BOOST_AUTO_TEST_CASE(that_were_not_sent_are_reported_as_not_run) {
  sendCommit();
  transaction_end Result =
      Table.requestEnded(Id.Number, {false, false, "", 0}, {}, Start);
  BOOST_TEST((Result.Reply == lost(ran_state::No)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(transaction_failures, open_transaction_fixture)

// Guards against a restarted host that reports a definite outcome for a commit
// of its earlier process, also to a client that sends a rollback because its
// commit was not answered.
BOOST_AUTO_TEST_CASE(by_a_host_restart_leave_the_outcome_unknown) {
  transaction_id Earlier = Id;
  Earlier.Incarnation = 6;
  BOOST_TEST(
      (Table.beginStatement(Earlier, Owner, Start) == lost(ran_state::No)));
  BOOST_TEST(
      (Table.beginCommit(Earlier, Owner, Start) == lost(ran_state::Unknown)));
  BOOST_TEST(
      (Table.beginRollback(Earlier, Owner, Start) == lost(ran_state::Unknown)));
}

// Guards against a request that hangs on a connection that no longer answers.
BOOST_AUTO_TEST_CASE(of_the_connection_end_the_transaction) {
  Table.beginStatement(Id, Owner, Start);
  transaction_end Result = *Table.connectionLost(11, Start);
  BOOST_TEST((Result.Reply == lost(ran_state::No)));
  BOOST_TEST((Result.Release->End == connection_release_state::Uncertain));
  BOOST_TEST((Table.beginStatement(Id, Owner, Start) == lost(ran_state::No)));
  BOOST_TEST(!Table.connectionLost(11, Start).has_value());
}

// Guards against a connection that an abandoned transaction holds forever.
BOOST_AUTO_TEST_CASE(of_the_client_to_finish_roll_back_at_the_deadline) {
  BOOST_TEST(Table.expire(Start + 4s).empty());
  BOOST_TEST((Table.beginCommit(Id, Owner, Start + 5s) == lost(ran_state::No)));
  std::vector<transaction_end> Ends = Table.expire(Start + 5s);
  BOOST_REQUIRE(Ends.size() == 1U);
  BOOST_TEST(!Ends[0].Reply.has_value());
  BOOST_TEST((Ends[0].Release->End == connection_release_state::InTransaction));
  BOOST_TEST((Table.beginCommit(Id, Owner, Start + 5s) == lost(ran_state::No)));
}

// Guards against transactions that occupy all connections and leave none for
// other requests.
BOOST_AUTO_TEST_CASE(to_open_above_the_limit_are_reported) {
  transaction_table Full(host_id("host-1"), 7, {.MaxOpen = 1});
  BOOST_TEST(Full.open(Owner, group_id("permits"), 1, Start + 5s).has_value());
  BOOST_TEST(!Full.open(Owner, group_id("permits"), 2, Start + 5s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
