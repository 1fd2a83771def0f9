#include "radishrelay/sessions/detail/token_borrower.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using namespace std::chrono_literals;
using detail::token_borrower;

const base::account_id Account("a");

base::time_point at(base::duration Time) {
  return base::fromMicroseconds(1'000'000) + Time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_without_tokens)

BOOST_AUTO_TEST_CASE(asks_one_owner_after_another) {
  token_borrower Borrower;
  BOOST_TEST(*Borrower.start(Account, {"h1", "h2"}, at(0ms)) == "h1");
  BOOST_TEST(*Borrower.answered(Account, "h1", false, at(1ms)) == "h2");
  BOOST_TEST(!Borrower.takeExhausted());
  BOOST_TEST(!Borrower.answered(Account, "h2", false, at(2ms)).has_value());
  BOOST_TEST(Borrower.takeExhausted());
  BOOST_TEST(!Borrower.isAsking(Account));
}

BOOST_AUTO_TEST_CASE(stops_asking_when_an_owner_grants_tokens) {
  token_borrower Borrower;
  Borrower.start(Account, {"h1", "h2"}, at(0ms));
  BOOST_TEST(!Borrower.answered(Account, "h1", true, at(1ms)).has_value());
  BOOST_TEST(!Borrower.isAsking(Account));
  BOOST_TEST(!Borrower.isExhausted(Account, at(0ms)));
}

BOOST_AUTO_TEST_CASE(asks_the_next_owner_if_one_does_not_answer) {
  token_borrower Borrower;
  Borrower.start(Account, {"h1", "h2"}, at(0ms));
  BOOST_TEST(Borrower.advance(at(5ms)).empty());
  base::time_point Deadline = Borrower.nextDeadline();
  BOOST_TEST(Borrower.advance(Deadline).at(Account) == "h2");
  // The late refusal of h1 does not end the wait for h2.
  BOOST_TEST(!Borrower.answered(Account, "h1", false, Deadline).has_value());
  BOOST_TEST(Borrower.isAsking(Account));
}

BOOST_AUTO_TEST_CASE(
    exceeds_the_limit_only_for_operations_that_arrived_before_the_round) {
  token_borrower Borrower;
  Borrower.start(Account, {}, at(10ms));
  BOOST_TEST(Borrower.isExhausted(Account, at(10ms)));
  BOOST_TEST(!Borrower.isExhausted(Account, at(11ms)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
