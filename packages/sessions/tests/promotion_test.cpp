#include "support/promotion_fixture.h"

#include "radishrelay/base/store_version.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

using fixture = promotion_fixture;

BOOST_AUTO_TEST_SUITE(a_promotion)

BOOST_FIXTURE_TEST_CASE(fences_nothing_before_its_claim_is_stored, fixture) {
  start();
  BOOST_TEST(sent<promotion_fence>().empty());
  storeAnswers(done(0));
  BOOST_TEST(sent<promotion_fence>().empty());
  storeAnswers(done(42));
  BOOST_TEST(sent<promotion_fence>().size() == 3U);
}

// Guards against two hosts that promote with one generation number: the answer
// to a read was taken for that to the claim, which another host had written.
BOOST_FIXTURE_TEST_CASE(takes_no_late_answer_to_a_read_for_its_claim, fixture) {
  start();
  std::uint64_t FirstRead = sent<promotion_store_call>().back().Number;
  advanceBy(1000ms);
  BOOST_REQUIRE(Promotion.isIdle());
  advanceBy(700ms);
  start();
  storeAnswers(done(0));
  BOOST_REQUIRE((Promotion.stage() == promotion_stage::Claiming));
  Promotion.storeAnswered(FirstRead, done(41), Now, Actions);
  BOOST_TEST((Promotion.stage() == promotion_stage::Claiming));
  BOOST_TEST(sent<promotion_fence>().empty());
}

// A store that was restored from a copy has lost the latest claims, and their
// owners may still promote.
BOOST_AUTO_TEST_SUITE(on_a_store_that_was_restored)

BOOST_FIXTURE_TEST_CASE(claims_nothing_until_lost_claims_have_expired,
                        fixture) {
  Promotion.setHistorySeenAt(Now);
  start();
  BOOST_TEST(sent<promotion_store_call>().empty());
  advanceBy(4400ms);
  start();
  BOOST_TEST(sent<promotion_store_call>().empty());
  advanceBy(100ms);
  start();
  BOOST_TEST(sent<promotion_store_call>().size() == 1U);
}

// The claim of another host is lost between the read of the row and the write.
BOOST_FIXTURE_TEST_CASE(counts_no_claim_that_was_written_after_the_restore,
                        fixture) {
  start();
  storeAnswers(done(base::versionIn(1, 30)));
  Promotion.setHistorySeenAt(Now);
  storeAnswers(done(base::versionIn(2, 21)));
  BOOST_TEST(sent<promotion_fence>().empty());
  BOOST_TEST(sent<promotion_abandoned>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(counts_no_claim_that_it_finds_there, fixture) {
  start();
  storeAnswers(done(base::versionIn(1, 30)));
  auto Write = std::get<base::store_transaction>(
      sent<promotion_store_call>().back().Request);
  base::store_answer Lost;
  storeAnswers(Lost);
  Promotion.setHistorySeenAt(Now);
  base::store_answer Read = done(base::versionIn(2, 25));
  Read.Rows.push_back({{"promotions", "g"},
                       base::versionIn(2, 21),
                       Write.Writes.front().Value});
  storeAnswers(Read);
  BOOST_TEST(sent<promotion_fence>().empty());
  BOOST_TEST(sent<promotion_abandoned>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(respects_the_claim_of_another_host_until_it_expires,
                        fixture) {
  base::store_answer Others = done(7);
  Others.Rows.push_back(
      {{"promotions", "g"},
       7,
       {{"holder", "h2/1"}, {"operation", "9"}, {"term", 1}}});
  start();
  storeAnswers(Others);
  BOOST_TEST(Promotion.isIdle());
  advanceBy(4000ms);
  start();
  storeAnswers(Others);
  BOOST_TEST(Promotion.isIdle());
  advanceBy(1000ms);
  start();
  storeAnswers(Others);
  BOOST_TEST((Promotion.stage() == promotion_stage::Claiming));
}

BOOST_FIXTURE_TEST_CASE(respects_a_claim_on_an_older_term_too, fixture) {
  base::store_answer Others = done(7);
  Others.Rows.push_back(
      {{"promotions", "g"},
       7,
       {{"holder", "h2/1"}, {"operation", "9"}, {"term", 0}}});
  start();
  storeAnswers(Others);
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
  storeAnswers(Others);
  BOOST_TEST(Promotion.isIdle());
  base::time_point PromotedBefore = Now;
  while (Promotion.stage() != promotion_stage::Claiming) {
    advanceBy(100ms);
    start();
    storeAnswers(Others);
    BOOST_REQUIRE((Now < PromotedBefore + 4000ms));
  }
  base::duration UntilOrder = fixture::options().LeaseDuration;
  BOOST_TEST(((Now + UntilOrder) >= (PromotedBefore + 3000ms)));
}

BOOST_FIXTURE_TEST_CASE(reads_back_a_claim_whose_answer_was_lost, fixture) {
  start();
  storeAnswers(done(0));
  auto Claim = std::get<base::store_transaction>(
      sent<promotion_store_call>().back().Request);
  base::store_answer Lost;
  Lost.Outcome = base::store_outcome::Unknown;
  storeAnswers(Lost);
  base::store_answer Stored = done(43);
  Stored.Rows.push_back({{"promotions", "g"}, 43, Claim.Writes[0].Value});
  storeAnswers(Stored);
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
  storeAnswers(Own);
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

BOOST_AUTO_TEST_SUITE(with_the_old_primary)

BOOST_FIXTURE_TEST_CASE(fences_it_once_it_is_demoted, fixture) {
  claim();
  BOOST_TEST(lastFence(P).IsPrimary);
  demoted(9);
  BOOST_TEST(!lastFence(P).IsPrimary);
}

// A demoted instance that is not fenced may receive the log of another primary
// and acknowledge commits with it.
BOOST_FIXTURE_TEST_CASE(does_not_count_it_before_it_is_fenced, fixture) {
  claim();
  fenced(R1, 5);
  demoted(9);
  advanceBy(1200ms);
  fenced(R1, 5);
  demoted(9);
  advanceBy(1200ms);
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(promotes_it_if_it_is_ahead_and_a_replica_is_missing,
                        fixture) {
  claim();
  fenced(R1, 5);
  fenced(P, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(P, 9);
  BOOST_REQUIRE(sent<promotion_order>().size() == 1U);
  BOOST_TEST(sent<promotion_order>()[0].Instance == P);
}

// Guards against lost commits: the old primary had acknowledged them with a
// replica that has ended since, and all present replicas lacked them.
BOOST_FIXTURE_TEST_CASE(promotes_it_if_it_is_ahead_of_all_replicas, fixture) {
  claim();
  fenced(P, 9);
  fenced(R1, 5);
  fenced(R2, 6);
  advanceBy(1200ms);
  fenced(P, 9);
  fenced(R1, 5);
  fenced(R2, 6);
  BOOST_REQUIRE(!sent<promotion_order>().empty());
  BOOST_TEST(sent<promotion_order>()[0].Instance == P);
}

BOOST_FIXTURE_TEST_CASE(prefers_a_replica_with_the_same_log, fixture) {
  claim();
  fenced(P, 9);
  fenced(R1, 9);
  advanceBy(1200ms);
  fenced(P, 9);
  fenced(R1, 9);
  BOOST_REQUIRE(!sent<promotion_order>().empty());
  BOOST_TEST(sent<promotion_order>()[0].Instance == R1);
}

// Guards against a leaving primary that is promoted again because its last
// commits were on their way to replicas that were fenced at the same time.
BOOST_FIXTURE_TEST_CASE(demotes_it_before_the_replicas_are_fenced, fixture) {
  Request.IsPrimaryReachable = true;
  claim();
  BOOST_REQUIRE(sent<promotion_fence>().size() == 1U);
  BOOST_TEST(sent<promotion_fence>()[0].IsPrimary);
  demoted(9);
  BOOST_TEST(sent<promotion_fence>().size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(fences_the_replicas_if_it_does_not_answer, fixture) {
  Request.IsPrimaryReachable = true;
  claim();
  advanceBy(60ms);
  BOOST_TEST(lastFence(R1).Term == 2U);
  BOOST_TEST(lastFence(R2).Term == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_the_old_primary)

// Guards against lost commits: a replica that has left may have been the only
// one that had received them.
BOOST_FIXTURE_TEST_CASE(waits_until_a_replica_holds_what_the_primary_showed,
                        fixture) {
  Knowledge.NeededPosition = groups::log_position{1, 10};
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().empty());

  Knowledge.NeededPosition = groups::log_position{1, 9};
  Promotion.setReplicaKnowledge(Knowledge);
  fenced(R2, 9);
  BOOST_REQUIRE(sent<promotion_order>().size() == 1U);
  BOOST_TEST(sent<promotion_order>()[0].Instance == R2);
}

BOOST_FIXTURE_TEST_CASE(waits_while_no_position_of_it_is_known, fixture) {
  Knowledge.NeededPosition.reset();
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().empty());
}

// Guards against lost commits: an instance that started during an outage of
// the store is not listed, and may have received them alone.
BOOST_FIXTURE_TEST_CASE(waits_until_the_list_is_complete, fixture) {
  Knowledge.IsListComplete = false;
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(goes_on_with_it_if_it_answers_after_all, fixture) {
  Knowledge.IsListComplete = false;
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  demoted(12);
  advanceBy(100ms);
  fenced(P, 12);
  advanceBy(100ms);
  fenced(R1, 5);
  fenced(R2, 9);
  fenced(P, 12);
  BOOST_REQUIRE(!sent<promotion_order>().empty());
  BOOST_TEST(sent<promotion_order>()[0].Instance == P);
}

// The primary of the term may be any member, so none may be missing.
BOOST_FIXTURE_TEST_CASE(fences_all_members_if_it_is_not_known, fixture) {
  Request.OldPrimary = {};
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().empty());
  fenced(P, 7);
  advanceBy(1200ms);
  fenced(P, 7);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_REQUIRE(!sent<promotion_order>().empty());
  BOOST_TEST(sent<promotion_order>()[0].Instance == R2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_another_instance_joins)

const base::instance_id R3("r3");

// Guards against a lost commit: the old primary and an instance that had just
// started acknowledged it, while the promotion knew only three members.
BOOST_FIXTURE_TEST_CASE(fences_it_too_before_an_order, fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 5);
  advanceBy(500ms);
  Promotion.recordListedMember({R3, false}, Now, Actions);
  BOOST_TEST(lastFence(R3).Term == 2U);
  advanceBy(700ms);
  fenced(R1, 5);
  fenced(R2, 5);
  BOOST_TEST(sent<promotion_order>().empty());

  fenced(R3, 8);
  base::time_point FencedAt = Now;
  while (sent<promotion_order>().empty()) {
    BOOST_REQUIRE((Now < FencedAt + 1500ms));
    advanceBy(10ms);
    fenced(R1, 5);
    fenced(R2, 5);
    fenced(R3, 8);
  }
  // The leases that rest on the new instance have to expire as well.
  BOOST_TEST(((Now - FencedAt) >= engine_options{}.LeaseDuration));
  BOOST_TEST(sent<promotion_order>()[0].Instance == R3);
}

BOOST_FIXTURE_TEST_CASE(needs_no_fence_of_it_if_the_primary_is_fenced,
                        fixture) {
  claim();
  fenced(P, 9);
  fenced(R1, 9);
  fenced(R2, 5);
  advanceBy(500ms);
  Promotion.recordListedMember({R3, false}, Now, Actions);
  advanceBy(700ms);
  fenced(P, 9);
  fenced(R1, 9);
  fenced(R2, 5);
  BOOST_REQUIRE(!sent<promotion_order>().empty());
  BOOST_TEST(sent<promotion_order>()[0].Instance == R1);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an answer that was sent before the instance restarted without
// its fence and is handled after the leases have expired.
BOOST_FIXTURE_TEST_CASE(verifies_no_fence_by_an_earlier_answer, fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  base::time_point SentAt = Now;
  advanceBy(1200ms);
  BOOST_REQUIRE((Promotion.stage() == promotion_stage::Verifying));
  fenced(R1, 5);
  fenced(R2, 9, 2, SentAt);
  BOOST_TEST(sent<promotion_order>().empty());
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().size() == 1U);
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

// Guards against an order of a host that was suspended while it verified the
// fences: the answers arrive before the deadline is checked, when another host
// has promoted a different instance.
BOOST_FIXTURE_TEST_CASE(orders_nothing_on_answers_that_it_handles_late,
                        fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  BOOST_REQUIRE((Promotion.stage() == promotion_stage::Verifying));
  Now += 5000ms;
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().empty());
  BOOST_TEST(Promotion.isIdle());
  // The fences may be those of the other host by now.
  BOOST_TEST(sent<promotion_unfence>().empty());
}

BOOST_FIXTURE_TEST_CASE(an_order_expires_before_its_claim, fixture) {
  base::time_point ClaimedAt = Now;
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_REQUIRE(sent<promotion_order>().size() == 1U);
  // Other hosts respect the claim for 4.5 s.
  BOOST_TEST((sent<promotion_order>()[0].Deadline < ClaimedAt + 4500ms));
}

BOOST_FIXTURE_TEST_CASE(
    removes_the_fences_once_the_new_primary_reports_its_role, fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  Promotion.orderAnswered(sent<promotion_order>()[0].Number,
                          order_outcome::Accepted, Now);
  Promotion.instanceAnswered(R2, {instance_role::Primary, 2, {2, 9}, 0}, Now,
                             Now, Actions);
  BOOST_TEST(Promotion.isIdle());
  BOOST_TEST(sent<promotion_unfence>().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
