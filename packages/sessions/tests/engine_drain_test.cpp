#include "support/fake_fleet.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

BOOST_AUTO_TEST_SUITE(a_graceful_shutdown)

BOOST_AUTO_TEST_CASE(reports_not_ready_at_once_and_keeps_serving) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  BOOST_TEST(Fleet.engine().isReady());
  Fleet.engine().drain(Fleet.now());
  BOOST_TEST(!Fleet.engine().isReady());
  BOOST_TEST(!Fleet.ask(Session, "write x 1").Error.has_value());
  BOOST_TEST(!Fleet.wasClosed(Session));
}

BOOST_AUTO_TEST_CASE(closes_idle_sessions_after_the_balancer_delay) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.engine().drain(Fleet.now());
  Fleet.advanceTime(2100ms);
  BOOST_TEST(!Fleet.wasClosed(Session));
  Fleet.advanceTime(200ms);
  BOOST_TEST(Fleet.wasClosed(Session));
  BOOST_TEST(Fleet.engine().isDrained());
}

BOOST_AUTO_TEST_CASE(
    lets_an_open_transaction_commit_before_its_session_closes) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "begin");
  Fleet.ask(Session, "write x 1");
  Fleet.engine().drain(Fleet.now());
  Fleet.advanceTime(2900ms);
  BOOST_TEST(!Fleet.wasClosed(Session));
  BOOST_TEST(!Fleet.ask(Session, "commit").Error.has_value());
  Fleet.advanceTime(10ms);
  BOOST_TEST(Fleet.wasClosed(Session));
}

BOOST_AUTO_TEST_CASE(answers_a_running_statement_before_its_session_closes) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.engine().drain(Fleet.now());
  Fleet.advanceTime(2150ms);
  Fleet.send(Session, "write x 1");
  Fleet.advanceTime(300ms);
  BOOST_TEST(!Fleet.wasClosed(Session));
  Fleet.runHeld();
  BOOST_TEST(Fleet.answers(Session).size() == 1U);
  Fleet.advanceTime(5ms);
  BOOST_TEST(Fleet.engine().isDrained());
}

// Guards against a group without a primary: a host claimed the promotion while
// it was stopping, ended, and left the claim and the fences behind.
BOOST_AUTO_TEST_CASE(starts_no_promotion) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.engine().drain(Fleet.now());
  Fleet.instance("p").IsUnresponsive = true;
  for (int Round = 0; Round < 20; ++Round)
    Fleet.ask(Session, "write x 2");
  BOOST_TEST(Fleet.PromotionOrders.empty());
  BOOST_TEST(Fleet.instance("r1").Fenced == 0U);
}

BOOST_AUTO_TEST_CASE(ends_after_the_promotion_that_it_has_started) {
  fake_fleet Fleet;
  session_number Session = Fleet.connect("primary");
  Fleet.ask(Session, "write x 1");
  Fleet.instance("r1").Log = Fleet.instance("p").Log;
  Fleet.instance("p").IsUnresponsive = true;
  Fleet.send(Session, "write x 2");
  while (Fleet.instance("r1").Fenced == 0) {
    Fleet.advanceTime(1ms);
    BOOST_REQUIRE((Fleet.now() < base::fromMicroseconds(20'000'000)));
  }
  Fleet.disconnect(Session);
  Fleet.engine().drain(Fleet.now());
  BOOST_TEST(!Fleet.engine().isDrained());
  Fleet.advanceTime(3000ms);
  BOOST_TEST(Fleet.PromotionOrders.size() == 1U);
  BOOST_TEST(Fleet.engine().isDrained());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
