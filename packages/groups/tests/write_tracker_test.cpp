#include "radishrelay/groups/stored_term_majority_strategy.h"
#include "radishrelay/groups/term_lease_strategy.h"
#include "radishrelay/groups/write_attempt.h"
#include "radishrelay/groups/write_tracker.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::groups;
using std::chrono::milliseconds;

const std::vector<base::instance_id> Instances = {
    base::instance_id("a"), base::instance_id("b"), base::instance_id("c")};

base::time_point at(int Milliseconds) {
  return base::time_point(milliseconds(Milliseconds));
}

/// A write of term 3 that ends at offset 10, committed at 100 ms, with its
/// deadline at 1000 ms.
const committed_write Write = {1, {3, 10}, at(100), at(1000)};

struct tracker_fixture {
  template <typename Strategy = stored_term_majority_strategy>
  static write_tracker make() {
    return {{}, std::make_shared<Strategy>(), Instances};
  }

  instance_answer status(int Instance, log_position Position, int AskedAt) {
    instance_answer Answer;
    Answer.Call = {Instances[static_cast<std::size_t>(Instance)],
                   call_kind::Status, 0, at(AskedAt + 200)};
    Answer.Outcome = call_outcome::Done;
    Answer.Status = instance_status{
        instance_role::Replica, Position, Position.Term, {}, {}};
    Answer.AskedAt = at(AskedAt);
    return Answer;
  }

  template <typename Action>
  static std::optional<Action> find(const std::vector<write_action> &Actions) {
    for (const write_action &Candidate : Actions)
      if (const auto *Found = std::get_if<Action>(&Candidate))
        return *Found;
    return {};
  }

  bool acknowledges(const write_event &Event, int Now) {
    return find<acknowledge_write>(Tracker.handle(Event, at(Now))).has_value();
  }

  std::size_t calls(const write_event &Event, int Now) {
    auto Actions = Tracker.handle(Event, at(Now));
    return static_cast<std::size_t>(
        std::ranges::count_if(Actions, [](const write_action &Action) {
          return std::holds_alternative<instance_call>(Action);
        }));
  }

  write_tracker Tracker = make();
};

} // namespace

BOOST_AUTO_TEST_SUITE(write_acknowledgement)

BOOST_FIXTURE_TEST_SUITE(by_majority, tracker_fixture)

// Guards against acknowledging a write that only the primary holds.
BOOST_AUTO_TEST_CASE(write_needs_a_second_instance) {
  Tracker.handle(Write, at(100));
  BOOST_TEST(!acknowledges(status(0, {3, 10}, 101), 104));
  BOOST_TEST(acknowledges(status(1, {3, 12}, 101), 105));
  BOOST_TEST(Tracker.waiting() == 0U);
}

// Guards against counting one instance twice towards the majority.
BOOST_AUTO_TEST_CASE(repeated_answers_of_one_instance_count_once) {
  Tracker.handle(Write, at(100));
  BOOST_TEST(!acknowledges(status(0, {3, 10}, 101), 104));
  BOOST_TEST(!acknowledges(status(0, {3, 10}, 103), 105));
}

// Guards against an acknowledgement that is sent after one of the statuses
// behind it has expired.
BOOST_AUTO_TEST_CASE(acknowledgement_is_valid_until_its_first_status_expires) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(104));
  auto Decided =
      find<acknowledge_write>(Tracker.handle(status(1, {3, 10}, 150), at(155)));
  BOOST_REQUIRE(Decided.has_value());
  BOOST_TEST((Decided->ValidUntil == at(301)));
}

// Guards against acknowledging a write on a status that does not prove that the
// instance holds it.
BOOST_AUTO_TEST_SUITE(ignored_statuses)

BOOST_AUTO_TEST_CASE(status_requested_before_the_commit_answer_is_ignored) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {3, 10}, 99), 103));
}

BOOST_AUTO_TEST_CASE(status_is_ignored_after_its_deadline) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {3, 10}, 101), 301));
}

BOOST_AUTO_TEST_CASE(status_with_a_position_before_the_write_is_ignored) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {3, 9}, 101), 103));
}

BOOST_AUTO_TEST_CASE(status_of_a_lower_term_with_a_higher_offset_is_ignored) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {2, 50}, 101), 103));
}

BOOST_AUTO_TEST_CASE(status_raised_above_the_term_is_ignored) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  instance_answer Raised = status(1, {3, 10}, 101);
  Raised.Status->RaisedTerm = 4;
  BOOST_TEST(!acknowledges(Raised, 103));
}

BOOST_AUTO_TEST_CASE(status_is_ignored_after_one_that_was_requested_later) {
  Tracker.handle(Write, at(100));
  instance_answer Raised = status(0, {3, 10}, 105);
  Raised.Status->RaisedTerm = 4;
  Tracker.handle(Raised, at(106));
  Tracker.handle(status(0, {3, 10}, 101), at(107));
  BOOST_TEST(!acknowledges(status(1, {3, 10}, 101), 108));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(last_entry_of_a_log)

// Guards against a replica that ranks above instances with complete logs
// because it reports the term of a primary whose log it holds only in part.
BOOST_AUTO_TEST_CASE(
    last_entry_has_the_latest_term_that_starts_within_the_log) {
  instance_status Partial = {
      instance_role::Replica, {12, 74}, 12, {{9, 50}, {11, 81}, {12, 100}}, {}};
  BOOST_TEST((lastEntry(Partial) == log_position{9, 74}));
  Partial.Position.Offset = 100;
  BOOST_TEST((lastEntry(Partial) == log_position{12, 100}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(unknown_outcomes)

// Guards against a host that resumes after the deadline and acknowledges the
// write on statuses from before its pause.
BOOST_AUTO_TEST_CASE(
    outcome_is_unknown_when_the_host_resumes_after_the_deadline) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(104));
  auto Actions = Tracker.handle(status(1, {3, 10}, 101), at(5000));
  BOOST_TEST((Actions == std::vector<write_action>{report_unknown{
                             1, unknown_reason::DeadlinePassed}}));
}

// Guards against waiting for a write of a term in which nothing can be
// committed any more.
BOOST_AUTO_TEST_CASE(outcome_is_unknown_when_a_log_has_a_later_term) {
  Tracker.handle(Write, at(100));
  auto Actions = Tracker.handle(status(1, {4, 11}, 101), at(104));
  BOOST_TEST((find<report_unknown>(Actions) ==
              report_unknown{1, unknown_reason::TermSuperseded}));
}

// Guards against acknowledging a write of a primary that has been replaced.
BOOST_AUTO_TEST_CASE(waiting_ends_when_a_majority_is_raised_above_the_term) {
  Tracker.handle(Write, at(100));
  for (int Instance : {1, 2}) {
    instance_answer Raised = status(Instance, {3, 10}, 101);
    Raised.Status->RaisedTerm = 4;
    Tracker.handle(Raised, at(104));
  }
  BOOST_TEST(Tracker.waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(status_calls)

// Guards against a separate status call for each write.
BOOST_AUTO_TEST_CASE(one_round_of_calls_serves_all_waiting_writes) {
  BOOST_TEST(calls(Write, 100) == 3U);
  for (write_id Id = 2; Id < 50; ++Id)
    BOOST_TEST(calls(committed_write{Id, {3, 10}, at(100), at(1000)}, 100) ==
               0U);
  BOOST_TEST((Tracker.nextWake() == at(102)));
  Tracker.handle(status(0, {3, 10}, 101), at(101));
  Tracker.handle(status(1, {3, 10}, 101), at(101));
  BOOST_TEST(Tracker.waiting() == 0U);
  BOOST_TEST(!Tracker.nextWake().has_value());
}

// Guards against calls at the full rate to an instance that never answers.
BOOST_AUTO_TEST_CASE(unanswered_calls_to_an_instance_are_limited) {
  std::size_t Calls = calls(Write, 100);
  for (int Now = 101; Now < 300; ++Now)
    Calls += calls(time_passed{}, Now);
  BOOST_TEST(Calls == 3U * write_tracker_options{}.MaxUnansweredCalls);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(by_term_lease, tracker_fixture)

// Guards against acknowledging a write after the lease has expired, for example
// after a pause.
BOOST_AUTO_TEST_CASE(writes_are_acknowledged_until_the_lease_expires) {
  Tracker = make<term_lease_strategy>();
  Tracker.handle(term_lease{3, at(300)}, at(50));
  BOOST_TEST(acknowledges(Write, 299));
  BOOST_TEST(!acknowledges(Write, 300));
  BOOST_TEST(acknowledges(term_lease{3, at(900)}, 400));
}

// Guards against acknowledging a write of an older term under the lease of a
// new term.
BOOST_AUTO_TEST_CASE(lease_covers_only_writes_of_its_own_term) {
  Tracker = make<term_lease_strategy>();
  Tracker.handle(term_lease{4, at(900)}, at(50));
  BOOST_TEST(!acknowledges(Write, 100));
  BOOST_TEST(Tracker.waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(before_the_commit_answer)

const group_view View = {3, base::instance_id("a"), {}};

// Guards against reporting a write as not run when it may have run.
BOOST_AUTO_TEST_CASE(only_unsent_writes_are_reported_as_not_run) {
  write_attempt Unsent(at(100));
  Unsent.expire(at(100));
  BOOST_TEST((Unsent.state() == attempt_state::NotRun));
  write_attempt Sent(at(100));
  BOOST_TEST(Sent.trySend(View, at(10)).has_value());
  Sent.expire(at(100));
  BOOST_TEST((Sent.state() == attempt_state::Unknown));
}

// Guards against running a write twice after a lost connection.
BOOST_AUTO_TEST_CASE(a_write_that_may_have_run_is_not_sent_again) {
  write_attempt Attempt(at(100));
  Attempt.trySend(View, at(10));
  Attempt.connectionLost(true);
  BOOST_TEST(!Attempt.trySend(View, at(20)).has_value());
}

// Guards against abandoning a write that the instance has rolled back.
BOOST_AUTO_TEST_CASE(a_rolled_back_write_is_sent_to_the_next_primary) {
  write_attempt Attempt(at(100));
  Attempt.trySend(View, at(10));
  Attempt.refusedByInstance();
  BOOST_TEST(Attempt.trySend(View, at(20)).has_value());
}

// Guards against sending a write whose deadline passed during a pause.
BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_deadline) {
  write_attempt Attempt(at(100));
  BOOST_TEST(!Attempt.trySend(View, at(100)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
