#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/concurrency_limit.h"
#include "radishrelay/groups/fair_queue.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay::groups;
using namespace std::chrono_literals;
using radishrelay::base::account_id;
using radishrelay::base::duration;
using radishrelay::base::time_point;

const time_point Start = radishrelay::base::fromMicroseconds(1'000'000);
const account_id Large("large");
const account_id Small("small");

struct queue_fixture {
  fair_queue Queue;
  std::uint64_t LastId = 0;

  bool push(const account_id &Account, duration Cost = 1ms,
            duration Timeout = 60s) {
    queued_request Request{++LastId, Account, Cost, Start + Timeout};
    return std::holds_alternative<admitted_to_queue>(
        Queue.push(Request, Start));
  }
};

concurrency_limit makeLimit(std::size_t Maximum) {
  concurrency_limit_options Options;
  Options.Maximum = Maximum;
  return concurrency_limit(Options);
}

} // namespace

BOOST_AUTO_TEST_SUITE(queued_requests)

BOOST_FIXTURE_TEST_SUITE(fair_queues, queue_fixture)

// Guards against an account that delays other accounts by sending more
// requests.
BOOST_AUTO_TEST_CASE(serve_accounts_equally_whatever_they_send) {
  for (int Count = 0; Count < 50; ++Count)
    BOOST_TEST(push(Large));
  for (int Count = 0; Count < 10; ++Count)
    BOOST_TEST(push(Small));
  std::map<account_id, int> Served;
  for (int Count = 0; Count < 20; ++Count)
    ++Served[Queue.pop(Start)->Account];
  BOOST_TEST(Served[Large] == 10);
  BOOST_TEST(Served[Small] == 10);
}

// Guards against an account that receives more service time by sending more
// expensive requests.
BOOST_AUTO_TEST_CASE(measure_fairness_in_service_time) {
  for (int Count = 0; Count < 40; ++Count) {
    push(Large, 8ms);
    push(Small, 1ms);
  }
  std::map<account_id, duration> Served;
  duration Total{};
  while (Total < 60ms) {
    queued_request Request = *Queue.pop(Start);
    Served[Request.Account] += Request.Cost;
    Total += Request.Cost;
  }
  BOOST_TEST((Served[Large] - Served[Small] <= 9ms));
  BOOST_TEST((Served[Small] - Served[Large] <= 9ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(queue_deadlines, queue_fixture)

// Guards against queueing a request that cannot complete before its deadline.
BOOST_AUTO_TEST_CASE(requests_that_would_miss_their_deadline_are_refused) {
  for (int Count = 0; Count < 10; ++Count)
    BOOST_TEST(push(Large));
  BOOST_TEST(!push(Large, 1ms, 10ms));
  // Until its first request runs, Small waits for at most one request of Large.
  BOOST_TEST(push(Small, 1ms, 2ms));
  BOOST_TEST((Queue.estimatedWait(Small, 1ms) == 3ms));
  Queue.setConcurrency(3);
  BOOST_TEST((Queue.estimatedWait(Small, 1ms) == 1ms));
}

// Guards against running a request whose client no longer waits for it.
BOOST_AUTO_TEST_CASE(requests_past_their_deadline_are_never_served) {
  push(Large, 1ms, 5ms);
  push(Large, 1ms, 50ms);
  BOOST_TEST(Queue.pop(Start + 5ms)->Id == 2U);
  std::vector<queued_request> Expired = Queue.takeExpired(Start + 5ms);
  BOOST_REQUIRE(Expired.size() == 1U);
  BOOST_TEST(Expired.front().Id == 1U);
  BOOST_TEST(!Queue.pop(Start + 5ms).has_value());
}

// Guards against losing a request or serving it twice, over random operations.
BOOST_AUTO_TEST_CASE(each_request_is_served_removed_or_expired_exactly_once) {
  radishrelay::base::random_generator Random(4);
  std::map<std::uint64_t, int> Ends;
  std::size_t Admitted = 0;
  for (int Step = 0; Step < 20000; ++Step) {
    time_point Now = Start + Step * 100us;
    queued_request Request{
        ++LastId, account_id(std::to_string(Random.below(8))),
        duration(Random.below(2000)), Now + duration(Random.below(100'000))};
    if (std::holds_alternative<admitted_to_queue>(Queue.push(Request, Now)))
      ++Admitted;
    if (Random.chance(0.3))
      if (auto Next = Queue.pop(Now)) {
        BOOST_TEST((Next->Deadline > Now));
        ++Ends[Next->Id];
      }
    std::uint64_t Gone = 1 + Random.below(LastId);
    if (Random.chance(0.1) && Queue.remove(Gone))
      ++Ends[Gone];
    for (const queued_request &Late : Queue.takeExpired(Now))
      ++Ends[Late.Id];
  }
  for (const queued_request &Late : Queue.takeExpired(Start + 1h))
    ++Ends[Late.Id];
  BOOST_TEST(Ends.size() == Admitted);
  for (const auto &[Id, Count] : Ends)
    BOOST_TEST(Count == 1);
  BOOST_TEST(Queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(concurrency_limits)

// Guards against keeping an instance overloaded by using all its connections.
BOOST_AUTO_TEST_CASE(fall_on_high_latency_and_recover) {
  concurrency_limit Limit = makeLimit(10);
  Limit.observe(Start, Start + 1ms, 10, false);
  BOOST_TEST(Limit.limit() == 10U);
  for (int Round = 1; Round <= 20; ++Round)
    Limit.observe(Start + Round * 100ms, Start + Round * 100ms + 50ms, 10,
                  false);
  BOOST_TEST(Limit.limit() == 1U);
  for (int Round = 0; Round < 200; ++Round)
    Limit.observe(Start + 3s, Start + 3s + 1ms, Limit.limit(), false);
  BOOST_TEST(Limit.limit() == 10U);
}

// Guards against a limit that falls to its minimum in a single slow period.
BOOST_AUTO_TEST_CASE(fall_once_per_slow_period) {
  concurrency_limit Limit = makeLimit(10);
  Limit.observe(Start, Start + 1ms, 10, false);
  for (int Request = 0; Request < 10; ++Request)
    Limit.observe(Start + 2ms, Start + 40ms + Request * 1ms, 10, false);
  BOOST_TEST(Limit.limit() == 7U);
}

// Guards against a limit below one, which would stop all requests to the
// instance permanently.
BOOST_AUTO_TEST_CASE(stay_between_one_and_the_quota) {
  concurrency_limit Limit = makeLimit(2);
  for (int Round = 0; Round < 50; ++Round)
    Limit.observe(Start + Round * 1s, Start + Round * 1s + 1ms, 2, true);
  BOOST_TEST(Limit.limit() == 1U);
  Limit.setMaximum(0);
  BOOST_TEST(Limit.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
