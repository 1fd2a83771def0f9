#include "radishrelay/sessions/promotion.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

namespace {

using namespace std::chrono_literals;
using groups::instance_role;

const base::instance_id P("p");
const base::instance_id R1("r1");
const base::instance_id R2("r2");

struct fixture {
  fixture() : Promotion(base::group_id("g"), options()) {}

  static engine_options options() {
    engine_options Options;
    Options.Host = base::host_id("h1");
    Options.Incarnation = "1";
    return Options;
  }

  void start() {
    Promotion.start({P, 1, {{P, false}, {R1, false}, {R2, false}}}, Now,
                    Actions);
  }

  base::store_answer done(base::row_version Version) const {
    base::store_answer Answer;
    Answer.Outcome = base::store_outcome::Done;
    Answer.Version = Version;
    return Answer;
  }

  void claim() {
    start();
    Promotion.storeAnswered(done(0), Now, Actions);
    Promotion.storeAnswered(done(42), Now, Actions);
  }

  void fenced(const base::instance_id &Instance, groups::log_offset Offset,
              groups::term_number Fence = 2) {
    Promotion.instanceAnswered(Instance,
                               {instance_role::Replica, 1, {1, Offset}, Fence},
                               Now, Actions);
  }

  void advanceBy(base::duration Time) {
    for (base::time_point End = Now + Time; Now < End;) {
      Now += 1ms;
      Promotion.advance(Now, Actions);
    }
  }

  template <typename Kind> std::vector<Kind> sent() const {
    std::vector<Kind> Result;
    for (const promotion_action &Action : Actions)
      if (const auto *Found = std::get_if<Kind>(&Action))
        Result.push_back(*Found);
    return Result;
  }

  base::time_point Now = base::fromMicroseconds(1'000'000);
  promotion Promotion;
  promotion_actions Actions;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_promotion)

BOOST_FIXTURE_TEST_CASE(fences_nothing_before_its_claim_is_stored, fixture) {
  start();
  BOOST_TEST(sent<promotion_fence>().empty());
  Promotion.storeAnswered(done(0), Now, Actions);
  BOOST_TEST(sent<promotion_fence>().empty());
  Promotion.storeAnswered(done(42), Now, Actions);
  BOOST_TEST(sent<promotion_fence>().size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(respects_the_claim_of_another_host_until_it_expires,
                        fixture) {
  base::store_answer Others = done(7);
  Others.Rows.push_back(
      {{"promotions", "g"},
       7,
       {{"holder", "h2/1"}, {"operation", "9"}, {"term", 1}}});
  start();
  Promotion.storeAnswered(Others, Now, Actions);
  BOOST_TEST(Promotion.isIdle());
  advanceBy(4000ms);
  start();
  Promotion.storeAnswered(Others, Now, Actions);
  BOOST_TEST(Promotion.isIdle());
  advanceBy(1000ms);
  start();
  Promotion.storeAnswered(Others, Now, Actions);
  BOOST_TEST((Promotion.stage() == promotion_stage::Claiming));
}

BOOST_FIXTURE_TEST_CASE(respects_a_claim_on_an_older_term_too, fixture) {
  base::store_answer Others = done(7);
  Others.Rows.push_back(
      {{"promotions", "g"},
       7,
       {{"holder", "h2/1"}, {"operation", "9"}, {"term", 0}}});
  start();
  Promotion.storeAnswered(Others, Now, Actions);
  BOOST_TEST(Promotion.isIdle());
}

BOOST_FIXTURE_TEST_CASE(
    leaves_the_duty_to_a_host_that_has_just_promoted_an_instance, fixture) {
  // The platform counts two hosts that act within 3 s of each other as two
  // holders of one duty.
  base::store_answer Others = done(7);
  Others.Rows.push_back(
      {{"promotions", "g"},
       7,
       {{"holder", "h2/1"}, {"operation", "9"}, {"term", 0}, {"done", true}}});
  start();
  Promotion.storeAnswered(Others, Now, Actions);
  BOOST_TEST(Promotion.isIdle());
  base::time_point PromotedBefore = Now;
  while (Promotion.stage() != promotion_stage::Claiming) {
    advanceBy(100ms);
    start();
    Promotion.storeAnswered(Others, Now, Actions);
    BOOST_REQUIRE((Now < PromotedBefore + 4000ms));
  }
  base::duration UntilOrder = fixture::options().LeaseDuration;
  BOOST_TEST(((Now + UntilOrder) >= (PromotedBefore + 3000ms)));
}

BOOST_FIXTURE_TEST_CASE(reads_back_a_claim_whose_answer_was_lost, fixture) {
  start();
  Promotion.storeAnswered(done(0), Now, Actions);
  auto Claim = std::get<base::store_transaction>(
      sent<promotion_store_call>().back().Request);
  base::store_answer Lost;
  Lost.Outcome = base::store_outcome::Unknown;
  Promotion.storeAnswered(Lost, Now, Actions);
  base::store_answer Stored = done(43);
  Stored.Rows.push_back({{"promotions", "g"}, 43, Claim.Writes[0].Value});
  Promotion.storeAnswered(Stored, Now, Actions);
  BOOST_TEST((Promotion.stage() == promotion_stage::Fencing));
}

BOOST_FIXTURE_TEST_CASE(writes_a_new_claim_in_each_attempt, fixture) {
  claim();
  advanceBy(4000ms); // no instance answers
  BOOST_TEST(Promotion.isIdle());
  advanceBy(1000ms);
  base::store_answer Own = done(42);
  auto Claim = std::get<base::store_transaction>(
      sent<promotion_store_call>().back().Request);
  Own.Rows.push_back({{"promotions", "g"}, 42, Claim.Writes[0].Value});
  start();
  Promotion.storeAnswered(Own, Now, Actions);
  BOOST_TEST((Promotion.stage() == promotion_stage::Claiming));
}

BOOST_FIXTURE_TEST_CASE(
    orders_the_most_advanced_replica_with_the_version_of_its_claim, fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_REQUIRE(sent<promotion_order>().size() == 1U);
  BOOST_TEST(sent<promotion_order>()[0].Generation == 42U);
  BOOST_TEST(sent<promotion_order>()[0].Instance == R2);
}

BOOST_FIXTURE_TEST_CASE(orders_nothing_when_only_one_of_three_members_is_fenced,
                        fixture) {
  claim();
  fenced(R1, 5);
  advanceBy(3000ms);
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(
    promotes_the_old_primary_if_it_is_ahead_and_a_replica_is_not_fenced,
    fixture) {
  claim();
  fenced(R1, 5);
  fenced(P, 9, 0); // demoted
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(P, 9, 0);
  BOOST_REQUIRE(sent<promotion_order>().size() == 1U);
  BOOST_TEST(sent<promotion_order>()[0].Instance == P);
}

// Guards against a lost commit: the old primary and an instance that had just
// started acknowledged it, while the promotion knew only three members.
BOOST_FIXTURE_TEST_CASE(is_abandoned_when_another_instance_joins, fixture) {
  claim();
  fenced(P, 9);
  fenced(R1, 5);
  fenced(R2, 5);
  Promotion.recordListedMember(R2, Now, Actions);
  BOOST_TEST(!Promotion.isIdle());
  Promotion.recordListedMember(base::instance_id("r3"), Now, Actions);
  BOOST_TEST(Promotion.isIdle());
  BOOST_TEST(sent<promotion_unfence>().size() == 3U);
  advanceBy(2000ms);
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(
    orders_a_promotion_although_the_old_primary_is_ahead_of_all_replicas,
    fixture) {
  claim();
  fenced(P, 9, 0);
  fenced(R1, 5);
  fenced(R2, 6);
  advanceBy(1200ms);
  fenced(P, 9, 0);
  fenced(R1, 5);
  fenced(R2, 6);
  advanceBy(100ms);
  BOOST_REQUIRE(!sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(
    fences_again_an_instance_that_restarted_before_the_leases_expired,
    fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9, 0); // a restart removed the fence
  BOOST_TEST(sent<promotion_order>().empty());
  fenced(R2, 9);
  advanceBy(500ms);
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(orders_nothing_once_another_host_may_hold_the_claim,
                        fixture) {
  claim();
  Now += 5000ms; // the host was suspended
  Promotion.advance(Now, Actions);
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(2000ms);
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(
    removes_the_fences_once_the_new_primary_reports_its_role, fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  Promotion.orderAnswered(true, Now, Actions);
  Promotion.instanceAnswered(R2, {instance_role::Primary, 2, {2, 9}, 0}, Now,
                             Actions);
  BOOST_TEST(Promotion.isIdle());
  BOOST_TEST(sent<promotion_unfence>().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
