#include "radishrelay/groups/keyed_write.h"
#include "radishrelay/groups/request_error.h"
#include "radishrelay/groups/request_statements.h"
#include "radishrelay/groups/retry_policy.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::groups;
using namespace std::chrono_literals;
using radishrelay::base::time_point;

const time_point Start = radishrelay::base::fromMicroseconds(1'000'000);
const attempt_end Succeeded{true, true, "", 3};
const attempt_end NotSent{false, false, "", 0};
const attempt_end NoAnswer{false, true, "", 0};
const attempt_end DuplicateKey{false, true, "23505", 1};

keyed_write makeKeyedWrite() {
  keyed_request Request;
  Request.Account = radishrelay::base::account_id("installers");
  Request.Key = "amendment-17";
  Request.Route = "file-permit";
  Request.BodyDigest = "d1";
  Request.Statement = {"INSERT INTO permits(address) VALUES ($1)", {"1 Elm"}};
  return keyed_write(Request, Start + 5s);
}

std::string firstStatementText(const keyed_write_action &Action) {
  const auto *Run = std::get_if<run_on_primary>(&Action);
  return Run == nullptr ? "" : Run->Statements.front().Text;
}

bool isNewAttempt(const keyed_write_action &Action) {
  const auto *Run = std::get_if<run_on_primary>(&Action);
  return Run != nullptr && Run->IsNewAttempt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(keyed_writes)

// Guards against a write that is committed without its record, or a record
// without the write.
BOOST_AUTO_TEST_CASE(claim_key_run_and_record_answer_in_one_transaction) {
  keyed_write Write = makeKeyedWrite();
  auto Claim = std::get<run_on_primary>(Write.start(Start));
  BOOST_REQUIRE(Claim.Statements.size() == 3U);
  BOOST_TEST(Claim.Statements[0].Text == "BEGIN");
  BOOST_TEST(Claim.Statements[1].Parameters.size() == 6U);
  auto Commit =
      std::get<run_on_primary>(Write.claimEnded(Succeeded, "{}", Start + 1ms));
  BOOST_REQUIRE(Commit.Statements.size() == 3U);
  BOOST_TEST(Commit.Statements[1].Text == "COMMIT");
  BOOST_TEST(!Commit.IsNewAttempt);
  auto Answer = Write.commitEnded(Succeeded, {2, 7}, Start + 2ms);
  BOOST_TEST((Answer == keyed_write_action(
                            answer_when_acknowledged{"{}", {2, 7}, false})));
}

// Guards against a write that takes effect twice when the answer to COMMIT is
// lost.
BOOST_AUTO_TEST_CASE(find_their_own_record_after_a_lost_commit_answer) {
  keyed_write Write = makeKeyedWrite();
  Write.start(Start);
  Write.claimEnded(Succeeded, "{\"affected\":1}", Start);
  BOOST_TEST(isNewAttempt(Write.commitEnded(NoAnswer, {}, Start + 1s)));
  BOOST_TEST(firstStatementText(
                 Write.claimEnded(DuplicateKey, "", Start + 1s)) == "ROLLBACK");
  request_record Record{"file-permit", "d1", "{\"affected\":1}"};
  auto Answer = Write.lookupEnded(Succeeded, Record, {2, 9}, Start + 1s);
  BOOST_TEST((Answer == keyed_write_action(answer_when_acknowledged{
                            "{\"affected\":1}", {2, 9}, true})));
}

// Guards against returning the recorded answer of a different request that used
// the same key.
BOOST_AUTO_TEST_CASE(refuse_a_key_that_was_used_with_another_body) {
  keyed_write Write = makeKeyedWrite();
  Write.start(Start);
  Write.claimEnded(DuplicateKey, "", Start);
  auto Action = Write.lookupEnded(
      Succeeded, request_record{"file-permit", "d2", "{}"}, {2, 9}, Start);
  BOOST_TEST((Action == keyed_write_action(fail_request{
                            request_error::KeyReused, ran_state::No, ""})));
}

// Guards against a unique violation in the client's own table being mistaken
// for a repeated idempotency key; both have SQLSTATE 23505.
BOOST_AUTO_TEST_CASE(report_a_unique_violation_by_the_statement_itself) {
  keyed_write Write = makeKeyedWrite();
  Write.start(Start);
  attempt_end End{false, true, "23505", 2};
  auto Action = Write.claimEnded(End, "", Start);
  BOOST_TEST(
      (Action == keyed_write_action(fail_request{request_error::StatementFailed,
                                                 ran_state::No, "23505"})));
}

// Guards against reporting "not run" for a write that may have been committed.
BOOST_AUTO_TEST_CASE(have_an_unknown_outcome_once_a_commit_may_have_arrived) {
  keyed_write Write = makeKeyedWrite();
  Write.start(Start);
  Write.claimEnded(Succeeded, "{}", Start);
  Write.commitEnded(NoAnswer, {}, Start);
  keyed_write_action Action = Write.claimEnded(NotSent, "", Start);
  while (isNewAttempt(Action))
    Action = Write.claimEnded(NotSent, "", Start);
  BOOST_TEST(
      (Action == keyed_write_action(fail_request{request_error::OutcomeUnknown,
                                                 ran_state::Unknown, ""})));
}

// Guards against reporting an unknown outcome although COMMIT was never sent.
BOOST_AUTO_TEST_CASE(are_reported_as_not_run_when_no_commit_was_sent) {
  keyed_write Write = makeKeyedWrite();
  Write.start(Start);
  auto Action = Write.claimEnded(NoAnswer, "", Start + 5s);
  BOOST_TEST((Action == keyed_write_action(fail_request{request_error::NotSent,
                                                        ran_state::No, ""})));
}

// Guards against failing a write during a failover although another attempt on
// the new primary would succeed.
BOOST_AUTO_TEST_CASE(are_retried_when_the_primary_was_replaced) {
  keyed_write Write = makeKeyedWrite();
  Write.start(Start);
  Write.claimEnded(Succeeded, "{}", Start);
  attempt_end Replaced{false, true, "55000", 1};
  BOOST_TEST(isNewAttempt(Write.commitEnded(Replaced, {}, Start)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(writes_without_key)

// Guards against running a write a second time when the first run may have
// reached the backend server.
BOOST_AUTO_TEST_CASE(are_retried_only_when_no_byte_was_sent) {
  BOOST_TEST(mayRetry({false, false}, NotSent));
  BOOST_TEST(!mayRetry({false, false}, NoAnswer));
  BOOST_TEST(mayRetry({true, false}, NoAnswer));
  BOOST_TEST(mayRetry({false, true}, NoAnswer));
  BOOST_TEST(!mayRetry({true, true}, Succeeded));
}

// Guards against reporting "not run" for SQLSTATEs that do not prove a
// rollback, such as a shutdown of the backend server during a commit.
BOOST_AUTO_TEST_CASE(are_not_run_only_when_unsent_or_rolled_back) {
  BOOST_TEST((ranAfter(NotSent) == ran_state::No));
  BOOST_TEST((ranAfter(NoAnswer) == ran_state::Unknown));
  BOOST_TEST((ranAfter(DuplicateKey) == ran_state::No));
  for (const char *State : {"57P01", "08006", "40003", "XX000"}) {
    attempt_end End{false, true, State, 0};
    BOOST_TEST((ranAfter(End) == ran_state::Unknown));
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against purging records before their retention has expired.
BOOST_AUTO_TEST_CASE(request_records_are_kept_for_seven_days) {
  sql_statement Purge = request_statements::purge(604'800'001);
  BOOST_TEST(Purge.Parameters.front().value() == "1");
}

BOOST_AUTO_TEST_SUITE_END()
