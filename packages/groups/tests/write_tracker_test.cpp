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

/// A write of term 3 up to offset 10, committed at 100 ms, due at 1,000 ms.
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

// Guards against acknowledging what only the primary holds.
BOOST_AUTO_TEST_CASE(needs_a_second_instance) {
  Tracker.handle(Write, at(100));
  BOOST_TEST(!acknowledges(status(0, {3, 10}, 101), 104));
  BOOST_TEST(acknowledges(status(1, {3, 12}, 101), 105));
  BOOST_TEST(Tracker.waiting() == 0U);
}

// Guards against counting one instance twice.
BOOST_AUTO_TEST_CASE(repeated_answers_count_once) {
  Tracker.handle(Write, at(100));
  BOOST_TEST(!acknowledges(status(0, {3, 10}, 101), 104));
  BOOST_TEST(!acknowledges(status(0, {3, 10}, 103), 105));
}

// Guards against an answer that a slow sender delivers after its end.
BOOST_AUTO_TEST_CASE(acknowledgement_ends_with_its_oldest_evidence) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(104));
  auto Decided =
      find<acknowledge_write>(Tracker.handle(status(1, {3, 10}, 150), at(155)));
  BOOST_REQUIRE(Decided.has_value());
  BOOST_TEST((Decided->ValidUntil == at(301)));
}

BOOST_AUTO_TEST_SUITE(stale_evidence_counts_for_nothing)

BOOST_AUTO_TEST_CASE(asked_before_the_commit_answer) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {3, 10}, 99), 103));
}

BOOST_AUTO_TEST_CASE(past_its_deadline) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {3, 10}, 101), 301));
}

BOOST_AUTO_TEST_CASE(position_short_of_the_write) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {3, 9}, 101), 103));
}

BOOST_AUTO_TEST_CASE(lower_term_with_a_higher_offset) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  BOOST_TEST(!acknowledges(status(1, {2, 50}, 101), 103));
}

BOOST_AUTO_TEST_CASE(raised_past_the_term) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(102));
  instance_answer Raised = status(1, {3, 10}, 101);
  Raised.Status->RaisedTerm = 4;
  BOOST_TEST(!acknowledges(Raised, 103));
}

BOOST_AUTO_TEST_CASE(overtaken_by_a_later_question) {
  Tracker.handle(Write, at(100));
  instance_answer Raised = status(0, {3, 10}, 105);
  Raised.Status->RaisedTerm = 4;
  Tracker.handle(Raised, at(106));
  Tracker.handle(status(0, {3, 10}, 101), at(107));
  BOOST_TEST(!acknowledges(status(1, {3, 10}, 101), 108));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(last_entry_of_a_log)

// Guards against a replica that ranks above complete logs since it names the
// term of a primary whose log it holds only in part.
BOOST_AUTO_TEST_CASE(is_of_the_latest_term_that_starts_within_the_log) {
  instance_status Partial = {
      instance_role::Replica, {12, 74}, 12, {{9, 50}, {11, 81}, {12, 100}}, {}};
  BOOST_TEST((lastEntry(Partial) == log_position{9, 74}));
  Partial.Position.Offset = 100;
  BOOST_TEST((lastEntry(Partial) == log_position{12, 100}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failures_end_in_an_unknown_outcome)

// Guards against a paused holder that acknowledges on what it knew before.
BOOST_AUTO_TEST_CASE(holder_resumes_past_the_deadline) {
  Tracker.handle(Write, at(100));
  Tracker.handle(status(0, {3, 10}, 101), at(104));
  auto Actions = Tracker.handle(status(1, {3, 10}, 101), at(5000));
  BOOST_TEST((Actions == std::vector<write_action>{report_unknown{
                             1, unknown_reason::DeadlinePassed}}));
}

// Guards against waiting for a term that can no longer commit.
BOOST_AUTO_TEST_CASE(later_term_has_an_entry) {
  Tracker.handle(Write, at(100));
  auto Actions = Tracker.handle(status(1, {4, 11}, 101), at(104));
  BOOST_TEST((find<report_unknown>(Actions) ==
              report_unknown{1, unknown_reason::TermSuperseded}));
}

// Guards against an acknowledgement by a primary that has been replaced.
BOOST_AUTO_TEST_CASE(majority_is_raised) {
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

// Guards against one probe per write.
BOOST_AUTO_TEST_CASE(one_round_serves_all_waiting_writes) {
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

// Guards against calls at the full pace to an instance that never answers.
BOOST_AUTO_TEST_CASE(silent_instances_are_asked_ever_less) {
  std::size_t Calls = calls(Write, 100);
  for (int Now = 101; Now < 300; ++Now)
    Calls += calls(time_passed{}, Now);
  BOOST_TEST(Calls == 3U * write_tracker_options{}.MaxUnansweredCalls);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(by_term_lease, tracker_fixture)

// Guards against acknowledging after the lease, for example after a pause.
BOOST_AUTO_TEST_CASE(ends_with_the_lease) {
  Tracker = make<term_lease_strategy>();
  Tracker.handle(term_lease{3, at(300)}, at(50));
  BOOST_TEST(acknowledges(Write, 299));
  BOOST_TEST(!acknowledges(Write, 300));
  BOOST_TEST(acknowledges(term_lease{3, at(900)}, 400));
}

// Guards against a write of an old term under the new term's lease.
BOOST_AUTO_TEST_CASE(covers_its_own_term_only) {
  Tracker = make<term_lease_strategy>();
  Tracker.handle(term_lease{4, at(900)}, at(50));
  BOOST_TEST(!acknowledges(Write, 100));
  BOOST_TEST(Tracker.waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(before_the_commit_answer)

const group_view View = {3, base::instance_id("a"), {}};

// Guards against "not run" for a write that may have run.
BOOST_AUTO_TEST_CASE(not_run_is_said_only_of_what_was_not_sent) {
  write_attempt Unsent(at(100));
  Unsent.expire(at(100));
  BOOST_TEST((Unsent.state() == attempt_state::NotRun));
  write_attempt Sent(at(100));
  BOOST_TEST(Sent.trySend(View, at(10)).has_value());
  Sent.expire(at(100));
  BOOST_TEST((Sent.state() == attempt_state::Unknown));
}

// Guards against running a write twice.
BOOST_AUTO_TEST_CASE(a_write_that_may_have_run_is_not_sent_again) {
  write_attempt Attempt(at(100));
  Attempt.trySend(View, at(10));
  Attempt.connectionLost(true);
  BOOST_TEST(!Attempt.trySend(View, at(20)).has_value());
}

// Guards against giving up a write that the instance has rolled back.
BOOST_AUTO_TEST_CASE(a_refused_write_waits_for_the_next_primary) {
  write_attempt Attempt(at(100));
  Attempt.trySend(View, at(10));
  Attempt.refusedByInstance();
  BOOST_TEST(Attempt.trySend(View, at(20)).has_value());
}

// Guards against work that starts after a pause past the deadline.
BOOST_AUTO_TEST_CASE(nothing_is_sent_past_the_deadline) {
  write_attempt Attempt(at(100));
  BOOST_TEST(!Attempt.trySend(View, at(100)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
