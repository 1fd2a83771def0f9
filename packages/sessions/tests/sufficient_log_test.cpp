#include "support/promotion_fixture.h"

#include <boost/test/unit_test.hpp>

namespace radishrelay::sessions::tests {

using fixture = promotion_fixture;

BOOST_AUTO_TEST_SUITE(a_promotion)

// Guards against a wait for an attempt of a process that has ended.
BOOST_FIXTURE_TEST_CASE(respects_no_claim_of_an_earlier_run_of_its_host,
                        fixture) {
  base::json Claim{{"holder", "h1/0"}, {"operation", "9"}, {"term", 1}};
  start();
  storeAnswers(storedClaim(7, Claim));
  BOOST_TEST((Promotion.stage() == promotion_stage::Claiming));
}

// The order of a process that has ended may still arrive.
BOOST_FIXTURE_TEST_CASE(respects_an_announced_order_of_an_earlier_run,
                        fixture) {
  base::json Claim{
      {"holder", "h1/0"}, {"operation", "9"}, {"term", 1}, {"ordering", true}};
  start();
  storeAnswers(storedClaim(7, Claim));
  BOOST_TEST(Promotion.isIdle());
}

// Hosts that are started anew know the primary and its log by the claim alone.
BOOST_FIXTURE_TEST_CASE(names_the_old_primary_and_the_log_in_its_claim,
                        fixture) {
  Knowledge.Replicated = groups::log_position{1, 7};
  claim();
  claim_view View = viewOf(lastClaim());
  BOOST_TEST(View.Leader == P);
  BOOST_TEST(View.LeaderTerm == 1U);
  BOOST_TEST((View.Replicated == groups::log_position{1, 7}));
  BOOST_TEST(View.IsAttemptInProgress);
}

BOOST_AUTO_TEST_SUITE(without_the_old_primary)

// Guards against lost commits that only a replica has which is not listed yet:
// hosts have told their clients of them (review/12).
BOOST_AUTO_TEST_SUITE(may_lack_what_an_unlisted_replica_has)

struct survey_fixture : fixture {
  survey_fixture() {
    Knowledge.AreCommitsReported = false;
    Knowledge.ListedAt = Now;
  }

  /// Verifies the fences of both replicas until an order or \p Time is over.
  void verifyFor(base::duration Time) {
    for (base::time_point End = Now + Time;
         Now < End && sent<promotion_order>().empty();) {
      advanceBy(10ms);
      fenced(R1, 5);
      fenced(R2, 9);
    }
  }

  void setKnowledge() { Promotion.setReplicaKnowledge(Knowledge); }
};

BOOST_FIXTURE_TEST_CASE(and_waits_for_the_reports_of_all_hosts,
                        survey_fixture) {
  claim();
  verifyFor(1500ms);
  BOOST_TEST(sent<promotion_order>().empty());
  Knowledge.AreCommitsReported = true;
  setKnowledge();
  verifyFor(100ms);
  BOOST_TEST(sent<promotion_order>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(and_waits_if_they_name_a_later_commit, survey_fixture) {
  Knowledge.AreCommitsReported = true;
  Knowledge.Acknowledged = groups::log_position{1, 10};
  claim();
  verifyFor(1500ms);
  BOOST_TEST(sent<promotion_order>().empty());
  Knowledge.Acknowledged = groups::log_position{1, 9};
  setKnowledge();
  verifyFor(100ms);
  BOOST_TEST(sent<promotion_order>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(and_waits_without_them_until_all_replicas_are_listed,
                        survey_fixture) {
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  verifyFor(50ms);
  auto NeededAt = Promotion.listNeededAt();
  BOOST_REQUIRE(NeededAt.has_value());
  BOOST_TEST(((*NeededAt - Now) > engine_options{}.LeaseDuration + 1000ms));
  Knowledge.ListedAt = *NeededAt - 1us;
  setKnowledge();
  verifyFor(1500ms);
  BOOST_TEST(sent<promotion_order>().empty());
  Knowledge.ListedAt = *NeededAt;
  setKnowledge();
  verifyFor(100ms);
  BOOST_TEST(sent<promotion_order>().size() == 1U);
}

// Guards against an attempt that starts its wait again for an instance on which
// no lease can rest, and expires.
BOOST_FIXTURE_TEST_CASE(and_takes_in_what_is_listed_meanwhile, survey_fixture) {
  const base::instance_id R3("r3");
  claim();
  verifyFor(1000ms);
  Knowledge.ListedAt = Now;
  setKnowledge();
  Promotion.recordListedMember({R3, false}, Now, Actions);
  Knowledge.ListedAt = Now + 2000ms;
  setKnowledge();
  fenced(R3, 12);
  for (base::time_point End = Now + 200ms; Now < End;) {
    advanceBy(10ms);
    fenced(R1, 5);
    fenced(R2, 9);
    fenced(R3, 12);
  }
  BOOST_REQUIRE(!sent<promotion_order>().empty());
  BOOST_TEST(sent<promotion_order>()[0].Instance == R3);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a whole database that is lost: the instances with the log were
// gone, and one that had started without a primary was promoted (review/11).
BOOST_AUTO_TEST_SUITE(promotes_no_log_that_ends_before_what_a_replica_has_shown)

BOOST_FIXTURE_TEST_CASE(although_the_primary_is_no_member, fixture) {
  Request.Members = {{R1, false}, {R2, false}};
  Knowledge.Replicated = groups::log_position{1, 10};
  verify();
  BOOST_TEST(sent<promotion_order>().empty());
  advanceBy(4000ms);
  BOOST_REQUIRE(sent<promotion_abandoned>().size() == 1U);
  BOOST_TEST(sent<promotion_abandoned>()[0].Reason ==
             "no fenced instance holds the log that a replica has shown");
}

BOOST_FIXTURE_TEST_CASE(although_the_primary_has_returned_without_it, fixture) {
  Knowledge.Replicated = groups::log_position{1, 10};
  claim();
  for (int Round = 0; Round < 2; ++Round) {
    fenced(P, 0);
    fenced(R1, 9);
    advanceBy(1200ms);
  }
  BOOST_TEST(sent<promotion_order>().empty());
}

BOOST_FIXTURE_TEST_CASE(as_the_claim_of_an_earlier_run_says, fixture) {
  Request.Members = {{R1, false}, {R2, false}};
  start();
  storeAnswers(storedClaim(7, {{"holder", "h1/0"},
                               {"operation", "9"},
                               {"term", 1},
                               {"primary", "p"},
                               {"replicated", {{"term", 1}, {"offset", 10}}}}));
  storeAnswers(done(42));
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(1200ms);
  fenced(R1, 5);
  fenced(R2, 9);
  BOOST_TEST(sent<promotion_order>().empty());
  fenced(R2, 10);
  BOOST_TEST(sent<promotion_order>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a group without a primary: a member that had been fenced has
// ended since, and the attempt waited for it until it expired.
BOOST_FIXTURE_TEST_CASE(goes_on_without_a_member_that_has_ended, fixture) {
  Request.Members.push_back({base::instance_id("r3"), true});
  claim();
  fenced(R1, 5);
  fenced(R2, 9);
  advanceBy(100ms);
  BOOST_REQUIRE((Promotion.stage() == promotion_stage::Fencing));
  Promotion.recordMemberRemoved(base::instance_id("r3"));
  for (base::time_point End = Now + 1200ms; Now < End;) {
    advanceBy(10ms);
    fenced(R1, 5);
    fenced(R2, 9);
  }
  BOOST_TEST(sent<promotion_order>().size() >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
