#include "radishrelay/base/backoff.h"
#include "radishrelay/base/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::base;
using std::chrono::milliseconds;

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

// Guards against hosts that retry at the same time, and against waits that grow
// without bound.
BOOST_AUTO_TEST_CASE(backoff_waits_are_random_below_a_growing_capped_bound) {
  random_generator Random(7);
  backoff Backoff(milliseconds(10), milliseconds(40));
  duration MaxSeen{};
  for (int Attempt = 0; Attempt < 200; ++Attempt) {
    duration Wait = Backoff.next(time_point(), Random).time_since_epoch();
    BOOST_TEST((Attempt > 0 || Wait <= milliseconds(10)));
    MaxSeen = std::max(MaxSeen, Wait);
  }
  BOOST_TEST((MaxSeen <= milliseconds(40)));
  BOOST_TEST((MaxSeen > milliseconds(20)));
}

// Guards against unlimited retries, which multiply the load on a failing peer.
BOOST_AUTO_TEST_CASE(retry_budget_allows_a_burst_then_a_steady_rate) {
  retry_budget Budget(2, milliseconds(100));
  time_point Start = fromMicroseconds(5'000'000);
  BOOST_TEST(Budget.tryTake(Start));
  BOOST_TEST(Budget.tryTake(Start));
  BOOST_TEST(!Budget.tryTake(Start));
  BOOST_TEST((Budget.availableAt() == Start + milliseconds(100)));
  BOOST_TEST(Budget.tryTake(Start + milliseconds(100)));
  BOOST_TEST(!Budget.tryTake(Start + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
