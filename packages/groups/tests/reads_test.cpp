#include "radishrelay/groups/read_error.h"
#include "radishrelay/groups/read_router.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::groups;
using namespace std::chrono_literals;
using radishrelay::base::duration;
using radishrelay::base::instance_id;
using radishrelay::base::time_point;

const instance_id Primary("permits-1");
const instance_id Near("permits-2");
const instance_id Far("permits-3");
const time_point Start = radishrelay::base::fromMicroseconds(1'000'000);

instance_status statusOf(instance_role Role, log_position Position,
                         std::vector<log_position> Starts,
                         std::optional<duration> Age = std::nullopt) {
  return {Role, Position, Position.Term, std::move(Starts), Age};
}

instance_status primaryAt(log_offset Offset) {
  return statusOf(instance_role::Primary, {2, Offset}, {{1, 0}, {2, 50}});
}

instance_status replicaAt(log_offset Offset,
                          std::optional<duration> Age = std::nullopt) {
  return statusOf(instance_role::Replica, {2, Offset}, {{1, 0}, {2, 50}}, Age);
}

struct three_instance_group {
  read_router Router;

  three_instance_group() {
    Router.setInstance(Primary, 2ms);
    Router.setInstance(Near, 100us);
    Router.setInstance(Far, 2ms);
    Router.observe(Primary, {primaryAt(100), Start});
    Router.observe(Near, {replicaAt(90, 40ms), Start});
    Router.observe(Far, {replicaAt(95, 20ms), Start});
  }

  /// Lets the router observe that replica Near follows the primary with a
  /// constant delay of \p Delay, a multiple of 10 ms.
  void observeDelay(duration Delay) {
    for (int Step = 1; Step <= 40; ++Step) {
      time_point At = Start + Step * 10ms;
      log_offset Offset = 100 + static_cast<log_offset>(Step);
      Router.observe(Primary, {primaryAt(Offset), At});
      auto Behind = static_cast<log_offset>(Delay / 10ms);
      Router.observe(Near, {replicaAt(Offset - Behind), At});
    }
  }
};

read_request readRequiring(log_position Position, duration Timeout = 5s) {
  read_request Request;
  Request.Required.Position = Position;
  Request.Deadline = Start + Timeout;
  return Request;
}

instance_id chosenBy(const read_decision &Decision) {
  const auto *Run = std::get_if<run_read>(&Decision);
  return Run == nullptr ? instance_id() : Run->Instance;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reads)

BOOST_AUTO_TEST_SUITE(positions_across_terms)

const term_history History({5, 120}, {{1, 0}, {3, 50}, {5, 90}});

// Guards against an answer from a replica in a newer term that lacks the
// entries which the failover removed.
BOOST_AUTO_TEST_CASE(distinguish_kept_entries_from_removed_ones) {
  BOOST_TEST((History.relate({3, 90}) == position_relation::Contained));
  BOOST_TEST((History.relate({3, 91}) == position_relation::Lost));
  BOOST_TEST((History.relate({1, 50}) == position_relation::Contained));
}

// Guards against accepting a position of an abandoned term, whose offsets were
// assigned to other entries.
BOOST_AUTO_TEST_CASE(in_an_abandoned_term_are_lost) {
  BOOST_TEST((History.relate({4, 85}) == position_relation::Lost));
}

// Guards against accepting a position that the log has not reached yet.
BOOST_AUTO_TEST_CASE(not_yet_reached_are_behind) {
  BOOST_TEST((History.relate({5, 121}) == position_relation::Behind));
  BOOST_TEST((History.relate({6, 10}) == position_relation::Behind));
  BOOST_TEST((term_history({5, 120}, {}).relate({3, 10}) ==
              position_relation::Behind));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(router_choice, three_instance_group)

// Guards against running all reads on the primary, which takes capacity from
// its writes.
BOOST_AUTO_TEST_CASE(prefers_the_nearest_replica_with_the_position) {
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 90}), Start)) == Near);
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 92}), Start)) == Far);
}

// Guards against a queue that grows on one replica while another is idle.
BOOST_AUTO_TEST_CASE(accounts_for_the_queue_length) {
  Router.setLoad(Near, 10, 1ms);
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 90}), Start)) == Far);
}

// Guards against sending new reads to a backend server that leaves its group
// (P11).
BOOST_AUTO_TEST_CASE(excludes_a_leaving_instance) {
  Router.setLeaving(Near, true);
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 90}), Start)) == Far);
  Router.setLeaving(Far, true);
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 90}), Start)) == Primary);
  Router.setLeaving(Primary, true);
  read_decision Decision = Router.choose(readRequiring({2, 90}, 10ms), Start);
  BOOST_TEST(
      (Decision == read_decision(refuse_read{read_error::NoFreshReplica})));
}

// Guards against sending reads to an instance that has stopped answering.
BOOST_AUTO_TEST_CASE(excludes_an_instance_without_recent_status) {
  Router.observe(Far, {replicaAt(95), Start + 3s});
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 90}), Start + 4s)) ==
             Far);
}

// Guards against treating the primary as behind because no probe has seen its
// latest write yet.
BOOST_AUTO_TEST_CASE(uses_the_primary_for_a_position_above_all_statuses) {
  BOOST_TEST(chosenBy(Router.choose(readRequiring({2, 500}), Start)) ==
             Primary);
}

// Guards against a read that blocks for a position that is 5 s ahead although
// the primary could serve it, and against running a read on the primary when a
// replica will hold the position after a short wait.
BOOST_AUTO_TEST_CASE(waits_for_a_replica_that_will_soon_hold_the_position) {
  observeDelay(50ms);
  time_point Now = Start + 400ms;
  read_decision Decision = Router.choose(readRequiring({2, 140}), Now);
  const auto *Wait = std::get_if<wait_for_position>(&Decision);
  BOOST_REQUIRE(Wait != nullptr);
  BOOST_TEST(Wait->Instance == Near);
  BOOST_TEST((Wait->Until > Now + 20ms));
  BOOST_TEST((Wait->Until < Now + 150ms));
  read_decision Tight = Router.choose(readRequiring({2, 140}, 410ms), Now);
  BOOST_TEST(chosenBy(Tight) == Primary);
}

// Guards against endless attempts on a replica whose estimated position is
// wrong.
BOOST_AUTO_TEST_CASE(uses_the_primary_after_repeated_failed_checks) {
  observeDelay(50ms);
  read_request Request = readRequiring({2, 140});
  Request.FailedChecks = 3;
  BOOST_TEST(chosenBy(Router.choose(Request, Start + 400ms)) == Primary);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(data_age, three_instance_group)

// Guards against returning data older than the route allows, and against
// treating an unknown age as recent.
BOOST_AUTO_TEST_CASE(includes_the_age_of_the_status) {
  read_request Request = readRequiring({});
  Request.MaxAge = 50ms;
  BOOST_TEST(chosenBy(Router.choose(Request, Start + 10ms)) == Near);
  BOOST_TEST(chosenBy(Router.choose(Request, Start + 11ms)) == Far);
  Router.observe(Near, {replicaAt(99), Start + 11ms});
  Router.observe(Far, {replicaAt(99), Start + 11ms});
  BOOST_TEST(chosenBy(Router.choose(Request, Start + 12ms)) == Primary);
}

// Guards against old data from a primary that was replaced but does not know
// it.
BOOST_AUTO_TEST_CASE(of_a_primary_is_confirmed_by_a_majority) {
  instance_status Raised = replicaAt(99);
  Raised.RaisedTerm = 3;
  Router.observe(Near, {Raised, Start + 1ms});
  Router.observe(Far, {Raised, Start + 1ms});
  read_request Request = readRequiring({});
  Request.MaxAge = 50ms;
  read_decision Decision = Router.choose(Request, Start + 2ms);
  BOOST_REQUIRE(chosenBy(Decision) == Primary);
  BOOST_TEST(std::get<run_read>(Decision).NeedsConfirmation);
  status_evidence RunEvidence{primaryAt(100), Start + 2ms};
  BOOST_TEST((Router.check(Request, Primary, RunEvidence, false, Start + 4ms) ==
              read_verdict(retry_routing{})));
  BOOST_TEST((Router.check(Request, Primary, RunEvidence, true, Start + 4ms) ==
              read_verdict(accept_result{{2, 100}})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(read_results, three_instance_group)

// Guards against a stale result from a replica that was chosen by an estimate
// or that was restarted with an older log.
BOOST_AUTO_TEST_CASE(are_checked_against_the_status_in_their_pipeline) {
  read_request Request = readRequiring({2, 90});
  status_evidence RunEvidence{replicaAt(89), Start + 1ms};
  BOOST_TEST((Router.check(Request, Near, RunEvidence, false, Start + 2ms) ==
              read_verdict(retry_routing{})));
  RunEvidence.Status = replicaAt(93);
  BOOST_TEST((Router.check(Request, Near, RunEvidence, false, Start + 2ms) ==
              read_verdict(accept_result{{2, 93}})));
}

// Guards against a session that reads older data than before because a failover
// removed the entries it has seen.
BOOST_AUTO_TEST_CASE(are_refused_when_a_failover_removed_seen_entries) {
  read_request Request = readRequiring({1, 51});
  read_decision Decision = Router.choose(Request, Start);
  BOOST_TEST((Decision == read_decision(refuse_read{read_error::HistoryLost})));
  status_evidence RunEvidence{replicaAt(93), Start + 1ms};
  BOOST_TEST((Router.check(Request, Near, RunEvidence, false, Start + 2ms) ==
              read_verdict(refuse_result{read_error::HistoryLost})));
}

// Guards against an answer from a replica to a session whose positions were
// evicted.
BOOST_AUTO_TEST_CASE(of_an_overflowed_session_need_a_confirmed_primary) {
  read_request Request = readRequiring({});
  Request.Required.NeedsConfirmedPrimary = true;
  read_decision Decision = Router.choose(Request, Start);
  BOOST_REQUIRE(chosenBy(Decision) == Primary);
  BOOST_TEST(std::get<run_read>(Decision).NeedsConfirmation);
  status_evidence RunEvidence{replicaAt(100), Start};
  BOOST_TEST((Router.check(Request, Near, RunEvidence, false, Start) ==
              read_verdict(retry_routing{})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
