#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

/// After so long without sessions a host has stopped to prove the primary.
constexpr base::duration IdleTime = 5000ms;

/// A fleet whose group has just acknowledged a write that all replicas hold.
struct written_fleet : fake_fleet {
  written_fleet() {
    ask(connect("primary"), "write x 1");
    instance("r1").Log = instance("p").Log;
    instance("r2").Log = instance("p").Log;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_read)

BOOST_AUTO_TEST_SUITE(that_needs_every_commit)

BOOST_AUTO_TEST_CASE(runs_on_the_primary) {
  written_fleet Fleet;
  BOOST_TEST(Fleet.ask(Fleet.connect("primary"), "read x").Receipt ==
             "receipt:p");
}

BOOST_AUTO_TEST_CASE(proves_the_primary_again_once_the_lease_has_run_out) {
  written_fleet Fleet;
  Fleet.run(IdleTime);
  Fleet.Requests.clear();
  Fleet.send(Fleet.connect("primary"), "read x");
  BOOST_REQUIRE(!Fleet.Requests.empty());
  BOOST_TEST((Fleet.Requests[0].second.Verb == backend_verb::Status));
}

BOOST_AUTO_TEST_CASE(does_not_run_while_a_fence_may_mean_a_promotion) {
  written_fleet Fleet;
  Fleet.run(IdleTime);
  Fleet.instance("r1").Fenced = 2;
  Fleet.instance("r2").Fenced = 2;
  session_number Session = Fleet.connect("primary");
  Fleet.send(Session, "read x");
  Fleet.run(500ms);
  BOOST_TEST(Fleet.held().empty());
  BOOST_TEST((Fleet.answers(Session).at(0).Error == refusal::Busy));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_an_overloaded_primary)

BOOST_AUTO_TEST_CASE(gets_its_proof_from_a_write_when_status_calls_are_shed) {
  written_fleet Fleet;
  Fleet.run(IdleTime);
  Fleet.instance("p").ShedsCalls = true;
  BOOST_TEST(
      !Fleet.ask(Fleet.connect("primary"), "write x 1").Error.has_value());
  BOOST_TEST(!Fleet.ask(Fleet.connect("primary"), "read x").Error.has_value());
  BOOST_TEST(Fleet.Orders.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_accepts_data_of_some_age)

BOOST_AUTO_TEST_CASE(runs_on_the_replica_in_the_same_failure_domain) {
  written_fleet Fleet;
  BOOST_TEST(Fleet.ask(Fleet.connect("bounded"), "read x").Receipt ==
             "receipt:r1");
}

BOOST_AUTO_TEST_CASE(asks_for_a_position_that_is_young_enough) {
  written_fleet Fleet;
  Fleet.run(IdleTime); // evidence from before the next write is too old
  Fleet.ask(Fleet.connect("primary"), "write x 2");
  Fleet.send(Fleet.connect("bounded"), "read x");
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  BOOST_REQUIRE(Fleet.held()[0].Request.After.has_value());
  BOOST_TEST((*Fleet.held()[0].Request.After == Fleet.instance("p").Log));
}

BOOST_AUTO_TEST_CASE(asks_the_primary_when_all_evidence_is_too_old) {
  written_fleet Fleet;
  Fleet.run(IdleTime);
  BOOST_TEST(Fleet.ask(Fleet.connect("bounded"), "read x").Receipt ==
             "receipt:p");
}

BOOST_AUTO_TEST_CASE(goes_elsewhere_at_once_when_a_replica_lags) {
  written_fleet Fleet;
  Fleet.instance("r1").Log = {1, 1};
  base::time_point Before = Fleet.now();
  client_answer Answer = Fleet.ask(Fleet.connect("bounded"), "read x");
  BOOST_TEST(!Answer.Error.has_value());
  BOOST_TEST(Answer.Receipt != "receipt:r1");
  BOOST_TEST(((Fleet.now() - Before) <= 5ms));
}

BOOST_AUTO_TEST_CASE(is_not_sent_to_an_instance_that_is_leaving) {
  written_fleet Fleet;
  Fleet.listings().at(base::instance_id("r1")).Draining = true;
  Fleet.list();
  BOOST_TEST(Fleet.ask(Fleet.connect("bounded"), "read x").Receipt !=
             "receipt:r1");
}

BOOST_AUTO_TEST_CASE(goes_on_while_the_store_is_away) {
  written_fleet Fleet;
  Fleet.IsStoreDown = true;
  for (int Second = 0; Second < 12; ++Second) {
    Fleet.run(1000ms);
    Fleet.answers(Fleet.connect("bounded"));
    BOOST_TEST(
        !Fleet.ask(Fleet.connect("bounded"), "read x").Error.has_value());
    BOOST_TEST(
        !Fleet.ask(Fleet.connect("primary"), "write x 1").Error.has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_session_that_wrote)

BOOST_AUTO_TEST_CASE(sees_the_commit_of_the_session) {
  written_fleet Fleet;
  session_number Session = Fleet.connect("own");
  Fleet.ask(Session, "write y 1");
  groups::log_position Commit = Fleet.instance("p").Log;
  Fleet.send(Session, "read y");
  BOOST_REQUIRE(Fleet.held().size() == 1U);
  BOOST_REQUIRE(Fleet.held()[0].Request.After.has_value());
  BOOST_TEST((*Fleet.held()[0].Request.After >= Commit));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_account_beyond_its_rate)

BOOST_AUTO_TEST_CASE(is_rejected_and_tells_that_it_has_not_run) {
  fake_fleet Fleet;
  Fleet.configuration().Limits.at(base::account_id("t1")).RatePerSecond = 1;
  Fleet.configuration().Limits.at(base::account_id("t1")).Burst = 2;
  Fleet.setCatalog(2);
  session_number Session = Fleet.connect("primary");
  int Rejected = 0;
  for (int Count = 0; Count < 10; ++Count)
    Rejected += Fleet.ask(Session, "read x").Error == refusal::TooMany;
  BOOST_TEST(Rejected >= 7);
  // Another account is not affected.
  BOOST_TEST(!Fleet.ask(Fleet.connect("primary", "key-2"), "read x")
                  .Error.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
