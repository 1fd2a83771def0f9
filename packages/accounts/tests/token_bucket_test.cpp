#include "radishrelay/accounts/account_tokens.h"
#include "radishrelay/accounts/lending_pool.h"
#include "radishrelay/accounts/token_bucket.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::accounts;
using namespace std::chrono_literals;

const base::time_point Start = base::fromMicroseconds(1'000'000);
constexpr base::duration LongLease = 1h;

account_limits limits(std::int64_t Rate, std::int64_t Burst) {
  return {base::account_id("installers"), Rate, Burst};
}

lending_pool fullPool(token_share Share) {
  lending_pool Pool;
  Pool.setDeadline(Start + LongLease);
  Pool.setShare(Share, Start);
  Pool.advance(Start + 60s);
  return Pool;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tokens)

BOOST_AUTO_TEST_SUITE(a_bucket)

// Guards against rounding errors: refills that each round down would lose a
// third of a rate of 3 per second at a share of 12,500 millionths.
BOOST_AUTO_TEST_CASE(refills_exactly_in_steps_of_any_length) {
  token_share Share = shareOf(limits(3, 1000), 12'500);
  token_bucket Once(Share, Start);
  token_bucket Often(Share, Start);
  for (int Step = 1; Step <= 100'000; ++Step)
    Often.refill(Start + base::duration(Step * 7));
  Once.refill(Start + base::duration(700'000));
  BOOST_TEST((Once == Often));
  BOOST_TEST(Once.level() == 26'250'000'000LL);
}

// Guards against overflow of elapsed time times rate after a long pause.
BOOST_AUTO_TEST_CASE(is_full_after_a_century) {
  token_share Share = shareOf(limits(MaxLimit, MaxLimit), WholeInMillionths);
  token_bucket Bucket(Share, Start);
  Bucket.refill(Start + 876'000h);
  BOOST_TEST(Bucket.level() == MaxLimit * OneToken);
}

// Guards against tokens gained when a time point is earlier than the last one.
BOOST_AUTO_TEST_CASE(gains_nothing_from_an_earlier_time_point) {
  token_bucket Bucket(shareOf(limits(10, 10), WholeInMillionths), Start);
  Bucket.refill(Start + 1s);
  token_amount Level = Bucket.level();
  Bucket.refill(Start);
  Bucket.refill(Start + 1s);
  BOOST_TEST(Bucket.level() == Level);
}

// Guards against a level above a burst that was lowered.
BOOST_AUTO_TEST_CASE(has_a_lower_level_when_its_burst_is_lowered) {
  token_bucket Bucket(shareOf(limits(10, 10), WholeInMillionths), Start);
  Bucket.refill(Start + 10s);
  Bucket.setShare(shareOf(limits(10, 4), WholeInMillionths), Start + 10s);
  BOOST_TEST(Bucket.level() == 4 * OneToken);
  BOOST_TEST(!Bucket.take(5 * OneToken));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_lending_pool)

// Guards against a refill of lent tokens that the borrower can still spend.
BOOST_AUTO_TEST_CASE(does_not_refill_lent_tokens_until_the_loan_ends) {
  lending_pool Pool = fullPool(shareOf(limits(100, 10), WholeInMillionths));
  base::time_point Now = Start + 60s;
  BOOST_TEST(Pool.lend(1, 6 * OneToken, 1s, Now));
  Pool.advance(Now + 1s);
  BOOST_TEST(Pool.available(Now + 1s) == 4 * OneToken);
  Pool.advance(Now + 1100ms);
  Pool.advance(Now + 2s);
  BOOST_TEST(Pool.available(Now + 2s) == 10 * OneToken);
}

// Guards against a repeated loan report that returns tokens twice.
BOOST_AUTO_TEST_CASE(settles_a_loan_once) {
  lending_pool Pool = fullPool(shareOf(limits(100, 10), WholeInMillionths));
  Pool.setShare(shareOf(limits(0, 10), WholeInMillionths), Start + 60s);
  base::time_point Now = Start + 60s;
  Pool.lend(1, 6 * OneToken, 1s, Now);
  Pool.settle(1, 2 * OneToken);
  Pool.settle(1, 0);
  BOOST_TEST(Pool.available(Now) == 8 * OneToken);
  BOOST_TEST(Pool.outstanding() == 0);
}

// Guards against loans that end later than the lease of the tokens.
BOOST_AUTO_TEST_CASE(lends_no_longer_than_its_lease) {
  lending_pool Pool = fullPool(shareOf(limits(100, 10), WholeInMillionths));
  Pool.setDeadline(Start + 61s);
  BOOST_TEST((Pool.validity(Start + 60s) == base::duration(1s)));
  BOOST_TEST((Pool.validity(Start + 60'700ms) == base::duration(300ms)));
  BOOST_TEST((Pool.validity(Start + 62s) == base::duration(0)));
  BOOST_TEST(Pool.available(Start + 61s) == 0);
}

// Guards against tokens of an ended lease that become usable with a new lease.
BOOST_AUTO_TEST_CASE(starts_each_lease_empty) {
  token_share Share = shareOf(limits(100, 10), WholeInMillionths);
  account_tokens Tokens;
  Tokens.advance({}, {Share, Start + 3s}, Start);
  Tokens.advance({}, {Share, Start + 3s}, Start + 2s);
  BOOST_TEST(Tokens.available(Start + 2s) == 10 * OneToken);
  Tokens.advance({}, {Share, Start + 9s}, Start + 8s);
  BOOST_TEST(Tokens.available(Start + 8s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
