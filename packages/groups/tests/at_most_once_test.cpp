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
const attempt_end Silent{false, true, "", 0};
const attempt_end KeyTaken{false, true, "23505", 1};

keyed_write filing() {
  keyed_request Request;
  Request.Account = radishrelay::base::account_id("installers");
  Request.Key = "amendment-17";
  Request.Route = "file-permit";
  Request.BodyDigest = "d1";
  Request.Statement = {"INSERT INTO permits(address) VALUES ($1)", {"1 Elm"}};
  return keyed_write(Request, Start + 5s);
}

std::string firstText(const keyed_write_action &Action) {
  const auto *Run = std::get_if<run_on_primary>(&Action);
  return Run == nullptr ? "" : Run->Statements.front().Text;
}

bool startsAnew(const keyed_write_action &Action) {
  const auto *Run = std::get_if<run_on_primary>(&Action);
  return Run != nullptr && Run->IsNewAttempt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(a_keyed_write)

// Guards against an effect without its record, or the reverse.
BOOST_AUTO_TEST_CASE(claims_runs_and_records_in_one_transaction) {
  keyed_write Write = filing();
  auto Claim = std::get<run_on_primary>(Write.start(Start));
  BOOST_REQUIRE(Claim.Statements.size() == 3U);
  BOOST_TEST(Claim.Statements[0].Text == "BEGIN");
  BOOST_TEST(Claim.Statements[1].Parameters.size() == 6U);
  auto Commit =
      std::get<run_on_primary>(Write.claimed(Succeeded, "{}", Start + 1ms));
  BOOST_REQUIRE(Commit.Statements.size() == 3U);
  BOOST_TEST(Commit.Statements[1].Text == "COMMIT");
  BOOST_TEST(!Commit.IsNewAttempt);
  auto Answer = Write.committed(Succeeded, {2, 7}, Start + 2ms);
  BOOST_TEST((Answer == keyed_write_action(
                            answer_when_acknowledged{"{}", {2, 7}, false})));
}

// Guards against a duplicated fee when the answer to COMMIT is lost.
BOOST_AUTO_TEST_CASE(finds_its_own_record_after_a_lost_commit_answer) {
  keyed_write Write = filing();
  Write.start(Start);
  Write.claimed(Succeeded, "{\"affected\":1}", Start);
  BOOST_TEST(startsAnew(Write.committed(Silent, {}, Start + 1s)));
  BOOST_TEST(firstText(Write.claimed(KeyTaken, "", Start + 1s)) == "ROLLBACK");
  request_record Record{"file-permit", "d1", "{\"affected\":1}"};
  auto Answer = Write.lookedUp(Succeeded, Record, {2, 9}, Start + 1s);
  BOOST_TEST((Answer == keyed_write_action(answer_when_acknowledged{
                            "{\"affected\":1}", {2, 9}, true})));
}

// Guards against the answer of one request going to another.
BOOST_AUTO_TEST_CASE(refuses_a_key_that_was_used_with_another_body) {
  keyed_write Write = filing();
  Write.start(Start);
  Write.claimed(KeyTaken, "", Start);
  auto Action = Write.lookedUp(
      Succeeded, request_record{"file-permit", "d2", "{}"}, {2, 9}, Start);
  BOOST_TEST((Action == keyed_write_action(fail_request{
                            request_error::KeyReused, ran_state::No, ""})));
}

// Guards against a unique constraint of the caller's own table being taken for
// a repeated key.
BOOST_AUTO_TEST_CASE(reports_a_violation_by_the_statement_itself) {
  keyed_write Write = filing();
  Write.start(Start);
  attempt_end End{false, true, "23505", 2};
  auto Action = Write.claimed(End, "", Start);
  BOOST_TEST(
      (Action == keyed_write_action(fail_request{request_error::StatementFailed,
                                                 ran_state::No, "23505"})));
}

// Guards against "not run" for a write that may have been committed.
BOOST_AUTO_TEST_CASE(stays_unknown_once_a_commit_may_have_arrived) {
  keyed_write Write = filing();
  Write.start(Start);
  Write.claimed(Succeeded, "{}", Start);
  Write.committed(Silent, {}, Start);
  keyed_write_action Action = Write.claimed(NotSent, "", Start);
  while (startsAnew(Action))
    Action = Write.claimed(NotSent, "", Start);
  BOOST_TEST(
      (Action == keyed_write_action(fail_request{request_error::OutcomeUnknown,
                                                 ran_state::Unknown, ""})));
}

// Guards against a request given up as unknown although nothing was committed.
BOOST_AUTO_TEST_CASE(did_not_run_when_no_commit_was_sent) {
  keyed_write Write = filing();
  Write.start(Start);
  auto Action = Write.claimed(Silent, "", Start + 5s);
  BOOST_TEST((Action == keyed_write_action(fail_request{request_error::NotSent,
                                                        ran_state::No, ""})));
}

// Guards against a failover that ends a write which another attempt on the new
// primary completes.
BOOST_AUTO_TEST_CASE(is_attempted_again_when_the_primary_was_replaced) {
  keyed_write Write = filing();
  Write.start(Start);
  Write.claimed(Succeeded, "{}", Start);
  attempt_end Replaced{false, true, "55000", 1};
  BOOST_TEST(startsAnew(Write.committed(Replaced, {}, Start)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_write_without_key)

// Guards against a second run of a write whose first run may have arrived.
BOOST_AUTO_TEST_CASE(is_repeated_only_when_no_byte_left) {
  BOOST_TEST(mayRetry({false, false}, NotSent));
  BOOST_TEST(!mayRetry({false, false}, Silent));
  BOOST_TEST(mayRetry({true, false}, Silent));
  BOOST_TEST(mayRetry({false, true}, Silent));
  BOOST_TEST(!mayRetry({true, true}, Succeeded));
}

// Guards against errors of a shutdown that hide a commit.
BOOST_AUTO_TEST_CASE(is_not_run_only_when_the_server_rolled_back) {
  BOOST_TEST((ranAfter(NotSent) == ran_state::No));
  BOOST_TEST((ranAfter(Silent) == ran_state::Unknown));
  BOOST_TEST((ranAfter(KeyTaken) == ran_state::No));
  for (const char *State : {"57P01", "08006", "40003", "XX000"}) {
    attempt_end End{false, true, State, 0};
    BOOST_TEST((ranAfter(End) == ran_state::Unknown));
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against records purged before their retention has passed.
BOOST_AUTO_TEST_CASE(records_are_kept_for_seven_days) {
  planned_statement Purge = request_statements::purge(604'800'001);
  BOOST_TEST(Purge.Parameters.front().value() == "1");
}

BOOST_AUTO_TEST_SUITE_END()
