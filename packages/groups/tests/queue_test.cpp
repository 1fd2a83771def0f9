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

struct one_queue {
  fair_queue Queue;
  std::uint64_t LastId = 0;

  bool push(const account_id &Account, duration Cost = 1ms,
            duration Timeout = 60s) {
    queued_request Request{++LastId, Account, Cost, Start + Timeout};
    return std::holds_alternative<admitted_to_queue>(
        Queue.push(Request, Start));
  }
};

concurrency_limit limitOf(std::size_t Maximum) {
  concurrency_limit_options Options;
  Options.Maximum = Maximum;
  return concurrency_limit(Options);
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_requests)

BOOST_FIXTURE_TEST_SUITE(turns, one_queue)

// Guards against an account that delays the others by sending more.
BOOST_AUTO_TEST_CASE(alternate_between_accounts_whatever_they_send) {
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

// Guards against an account that receives more service by costlier requests.
BOOST_AUTO_TEST_CASE(are_measured_in_service_time) {
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

BOOST_FIXTURE_TEST_SUITE(deadlines, one_queue)

// Guards against a caller that waits in vain until its deadline.
BOOST_AUTO_TEST_CASE(that_cannot_be_met_are_refused_at_once) {
  for (int Count = 0; Count < 10; ++Count)
    BOOST_TEST(push(Large));
  BOOST_TEST(!push(Large, 1ms, 10ms));
  // The other account waits for one request of the large one at most.
  BOOST_TEST(push(Small, 1ms, 2ms));
  BOOST_TEST((Queue.estimatedWait(Small, 1ms) == 3ms));
  Queue.setConcurrency(3);
  BOOST_TEST((Queue.estimatedWait(Small, 1ms) == 1ms));
}

// Guards against work for a caller that has given up.
BOOST_AUTO_TEST_CASE(that_have_passed_are_never_served) {
  push(Large, 1ms, 5ms);
  push(Large, 1ms, 50ms);
  BOOST_TEST(Queue.pop(Start + 5ms)->Id == 2U);
  std::vector<queued_request> Expired = Queue.takeExpired(Start + 5ms);
  BOOST_REQUIRE(Expired.size() == 1U);
  BOOST_TEST(Expired.front().Id == 1U);
  BOOST_TEST(!Queue.pop(Start + 5ms).has_value());
}

// Guards, over random operations, against requests that are lost or served
// twice.
BOOST_AUTO_TEST_CASE(leave_each_request_with_exactly_one_end) {
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

BOOST_AUTO_TEST_SUITE(concurrency)

// Guards against an instance that is kept overloaded by all its connections.
BOOST_AUTO_TEST_CASE(falls_on_latency_and_recovers) {
  concurrency_limit Limit = limitOf(10);
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

// Guards against a limit that collapses on one slow period.
BOOST_AUTO_TEST_CASE(falls_once_per_slow_period) {
  concurrency_limit Limit = limitOf(10);
  Limit.observe(Start, Start + 1ms, 10, false);
  for (int Request = 0; Request < 10; ++Request)
    Limit.observe(Start + 2ms, Start + 40ms + Request * 1ms, 10, false);
  BOOST_TEST(Limit.limit() == 7U);
}

// Guards against a limit below one, which would stop the instance for good.
BOOST_AUTO_TEST_CASE(stays_between_one_and_the_quota) {
  concurrency_limit Limit = limitOf(2);
  for (int Round = 0; Round < 50; ++Round)
    Limit.observe(Start + Round * 1s, Start + Round * 1s + 1ms, 2, true);
  BOOST_TEST(Limit.limit() == 1U);
  Limit.setMaximum(0);
  BOOST_TEST(Limit.limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
