#include "simulation/simulation.h"

#include "radishrelay/groups/term_lease_strategy.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::groups;
using namespace radishrelay::groups::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A simulated group one second after its start; its primary is instance 0.
struct running_group {
  running_group() { run(seconds(1)); }

  void run(base::duration Length) {
    Simulation.runUntil(Simulation.Now + Length);
  }

  /// True when the views of all hosts have the term \p Term and \p Primary.
  bool allSee(term_number Term, const char *Primary) {
    return std::ranges::all_of(Simulation.Hosts, [&](const sim_host &Host) {
      const group_view &View = Host.Failover->view();
      return View.Term == Term && View.Primary == base::instance_id(Primary);
    });
  }

  /// True when all hosts have the same primary of \p Term, and it is not i0.
  bool hasFailedOver(term_number Term) {
    return allSee(Term, "i1") || allSee(Term, "i2");
  }

  /// Runs until a host's promoter is in \p Stage and returns that host. Fails
  /// the test after five simulated seconds.
  sim_host &runUntilStage(promotion_stage Stage) {
    base::time_point End = Simulation.Now + seconds(5);
    while (Simulation.Now < End) {
      Simulation.step();
      for (sim_host &Host : Simulation.Hosts)
        if (Host.Failover->promotionStage() == Stage)
          return Host;
    }
    BOOST_FAIL("no promoter reached the expected stage within 5 s");
    return Simulation.Hosts.front();
  }

  simulation Simulation{simulation_options{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(failover, running_group)

BOOST_AUTO_TEST_SUITE(healthy_primary)

// Guards against promotions without a failure of the primary.
BOOST_AUTO_TEST_CASE(no_promotion_without_faults) {
  run(seconds(20));
  BOOST_TEST(allSee(1, "i0"));
  BOOST_TEST(Simulation.Store.Writes == 0U);
}

// Guards against a failover because of a single slow probe.
BOOST_AUTO_TEST_CASE(no_promotion_after_one_slow_probe) {
  Simulation.Instances[0].PausedUntil = Simulation.Now + milliseconds(220);
  run(seconds(3));
  BOOST_TEST(allSee(1, "i0"));
}

// Guards against a failover decided by the hosts of a single failure domain
// that has lost its connection to the primary.
BOOST_AUTO_TEST_CASE(no_promotion_when_one_domain_cannot_reach_the_primary) {
  for (sim_host &Host : Simulation.Hosts)
    Host.Failover->handle(reachable_domains{{base::failure_domain_id("d0"),
                                             base::failure_domain_id("d1"),
                                             base::failure_domain_id("d2")}},
                          Simulation.Now);
  Simulation.IsLinkDown[2][0] = Simulation.IsLinkDown[0][2] = true;
  run(seconds(5));
  BOOST_TEST(Simulation.Store.Writes == 0U);
  BOOST_TEST(Simulation.Instances[0].RaisedTerm == 1U);
}

// Guards against a host that, after its own pause, takes the probes that
// expired meanwhile for a failure of the primary.
BOOST_AUTO_TEST_CASE(no_promotion_when_a_paused_host_resumes) {
  Simulation.Hosts[1].PausedUntil = Simulation.Now + seconds(5);
  run(seconds(8));
  BOOST_TEST(allSee(1, "i0"));
}

// Guards against writes that depend on the table service.
BOOST_AUTO_TEST_CASE(writes_are_acknowledged_while_the_store_is_down) {
  Simulation.Store.Mode = store_mode::Down;
  std::size_t Before = Simulation.Ended.size();
  run(seconds(20));
  BOOST_TEST(Simulation.Ended.size() > Before + 5000);
  for (write_id Write : Simulation.Ended)
    BOOST_REQUIRE(
        (Simulation.Writes[Write].Result == write_result::Acknowledged));
}

// Guards against votes from the host's own failure domain or for an older term
// that count as agreement.
BOOST_AUTO_TEST_CASE(votes_of_the_same_domain_or_an_older_term_do_not_count) {
  failover_options Options;
  Options.Group = base::group_id("g");
  Options.FailureDomain = base::failure_domain_id("d0");
  primary_failure_detector Detector(Options);
  Detector.setTerm(3);
  Detector.recordFailure();
  Detector.recordFailure();
  auto Message = [&](term_number Term, const char *Domain) {
    return promotion_vote{Options.Group, Term, base::host_id("h9"),
                          base::failure_domain_id(Domain)};
  };
  Detector.receive(Message(3, "d0"), Simulation.Now);
  Detector.receive(Message(2, "d1"), Simulation.Now);
  BOOST_TEST(!Detector.isConfirmed(true, Simulation.Now));
  Detector.receive(Message(3, "d1"), Simulation.Now);
  BOOST_TEST(Detector.isConfirmed(false, Simulation.Now));
  BOOST_TEST(
      !Detector.isConfirmed(true, Simulation.Now + Options.VoteLifetime));
}

// Guards against a state dump that lacks the primary, the term, the promotion
// stage or the strategy.
BOOST_AUTO_TEST_CASE(state_dump_has_primary_term_stage_and_strategy) {
  base::json Dump = Simulation.Hosts[1].Failover->dump();
  BOOST_TEST(Dump["primary"] == "i0");
  BOOST_TEST(Dump["term"] == 1);
  BOOST_TEST(Dump["promoter"]["stage"] == "idle");
  BOOST_TEST(Simulation.Hosts[1].Tracker->dump()["strategy"] ==
             "stored_term_majority");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failed_primary)

// Guards against a crashed primary that is not replaced, or whose successor is
// not recorded in the table service.
BOOST_AUTO_TEST_CASE(crashed_primary_is_replaced) {
  simulation::crash(Simulation.Instances[0]);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
  BOOST_TEST((Simulation.Store.record().Primary ==
              Simulation.Hosts[0].Failover->view().Primary));
}

// Guards against waiting for a primary whose connections stay open but that no
// longer answers.
BOOST_AUTO_TEST_CASE(unresponsive_primary_is_replaced) {
  Simulation.Instances[0].PausedUntil = Simulation.Now + seconds(60);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
}

// Guards against keeping a primary that only its own failure domain can reach.
BOOST_AUTO_TEST_CASE(partitioned_primary_is_replaced) {
  Simulation.isolate(0, true);
  run(seconds(2));
  BOOST_TEST(Simulation.Hosts[1].Failover->view().Term == 2U);
  BOOST_TEST(Simulation.Hosts[2].Failover->view().Primary.has_value());
  Simulation.isolate(0, false);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
}

// Guards against a host that waits for the votes of unreachable failure
// domains.
BOOST_AUTO_TEST_CASE(primary_is_replaced_by_the_only_reachable_domain) {
  simulation::crash(Simulation.Instances[0]);
  simulation::crash(Simulation.Hosts[0]);
  simulation::crash(Simulation.Hosts[1]);
  Simulation.Hosts[2].Failover->handle(
      reachable_domains{{base::failure_domain_id("d2")}}, Simulation.Now);
  run(seconds(2));
  BOOST_TEST(Simulation.Hosts[2].Failover->view().Term == 2U);
}

// Guards against a primary of an older term that accepts writes again after its
// return.
BOOST_AUTO_TEST_CASE(former_primary_returns_as_a_replica) {
  simulation::crash(Simulation.Instances[0]);
  run(seconds(2));
  Simulation.Instances[0].IsAlive = true;
  run(seconds(2));
  BOOST_TEST((Simulation.Instances[0].Role == instance_role::Replica));
  BOOST_TEST(Simulation.Instances[0].Term == 2U);
  BOOST_TEST(hasFailedOver(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_failures)

// Guards against a promotion in a term that was not claimed.
BOOST_AUTO_TEST_CASE(no_promotion_starts_while_the_store_is_down) {
  Simulation.Store.Mode = store_mode::Down;
  simulation::crash(Simulation.Instances[0]);
  run(seconds(10));
  for (const fake_instance &Instance : Simulation.Instances)
    BOOST_TEST(Instance.RaisedTerm == 1U);
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(5));
  BOOST_TEST(Simulation.Hosts[1].Failover->view().Primary.has_value());
}

// Guards against retries that overload a recovering table service.
BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_in_a_long_outage) {
  Simulation.Store.Mode = store_mode::Down;
  simulation::crash(Simulation.Instances[0]);
  run(seconds(60));
  failover_options Options;
  std::uint64_t PerHost =
      Options.RetryBurst +
      static_cast<std::uint64_t>(seconds(60) / Options.RetryInterval) + 1;
  BOOST_TEST(Simulation.Store.Calls <= simulation::Domains * PerHost);
}

// Guards against hosts that need the table service to find the new primary.
BOOST_AUTO_TEST_CASE(
    probes_find_the_primary_when_the_store_fails_after_the_claim) {
  simulation::crash(Simulation.Instances[0]);
  runUntilStage(promotion_stage::Raising);
  Simulation.Store.Mode = store_mode::Down;
  run(seconds(3));
  BOOST_TEST(hasFailedOver(2));
  BOOST_TEST(!Simulation.Store.record().Primary.has_value());
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(3));
  BOOST_TEST(Simulation.Store.record().Primary.has_value());
}

// Guards against a claim that is abandoned or repeated when its answer is lost.
BOOST_AUTO_TEST_CASE(claim_succeeds_although_its_answer_is_lost) {
  simulation::crash(Simulation.Instances[0]);
  runUntilStage(promotion_stage::Claiming);
  Simulation.Store.Mode = store_mode::LosesAnswers;
  runUntilStage(promotion_stage::ReadingBack);
  Simulation.Store.Mode = store_mode::Up;
  runUntilStage(promotion_stage::Raising);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(promoter_failures)

// Guards against a group that stays without a primary when the promoter crashes
// during a promotion.
BOOST_AUTO_TEST_CASE(another_promoter_takes_over_after_a_crash) {
  simulation::crash(Simulation.Instances[0]);
  simulation::crash(runUntilStage(promotion_stage::Promoting));
  run(seconds(4));
  auto IsServed = [](const sim_host &Host) {
    return !Host.IsAlive || Host.Failover->view().Primary.has_value();
  };
  BOOST_TEST(std::ranges::all_of(Simulation.Hosts, IsServed));
}

// Guards against a second primary, promoted by a promoter that resumes after
// another one has taken over.
BOOST_AUTO_TEST_CASE(promoter_that_resumes_after_a_takeover_promotes_nothing) {
  simulation::crash(Simulation.Instances[0]);
  runUntilStage(promotion_stage::Raising).PausedUntil =
      Simulation.Now + seconds(6);
  run(seconds(5));
  BOOST_TEST(Simulation.Store.record().Term == 3U);
  run(seconds(5));
  BOOST_TEST(hasFailedOver(3));
}

// Guards against two owners of a term when several hosts resume at the same
// time and compete for it.
BOOST_AUTO_TEST_CASE(competing_promoters_agree_on_one_primary) {
  simulation::crash(Simulation.Instances[0]);
  run(milliseconds(300));
  for (sim_host &Host : Simulation.Hosts)
    Host.PausedUntil = Simulation.Now + milliseconds(400);
  run(seconds(4));
  BOOST_TEST(hasFailedOver(Simulation.Store.record().Term));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(two_simultaneous_failures)

// Guards against the promotion of the less advanced of two replicas.
BOOST_AUTO_TEST_CASE(most_advanced_replica_is_promoted_when_the_other_lags) {
  Simulation.IsLinkDown[0][1] = true;
  run(seconds(1));
  Simulation.IsLinkDown[0][1] = false;
  simulation::crash(Simulation.Instances[0]);
  run(seconds(2));
  BOOST_TEST(allSee(2, "i2"));
}

// Guards against ranking a partial copy of a newer term's log above an older
// log that holds every acknowledged write.
BOOST_AUTO_TEST_CASE(partial_log_of_a_newer_term_ranks_below_a_complete_log) {
  simulation::crash(Simulation.Instances[0]);
  fake_instance &Partial = Simulation.Instances[1];
  Partial.Term = Partial.RaisedTerm = 2;
  Partial.Starts.push_back({2, Partial.Log.size()});
  Partial.Log.resize(Partial.Log.size() / 2);
  run(seconds(3));
  BOOST_TEST(allSee(3, "i2"));
}

// Guards against ranking logs by length alone: entries of a former primary that
// no other instance holds can make its log longer than those of the newer term.
BOOST_AUTO_TEST_CASE(longer_log_of_an_older_term_ranks_below_a_newer_term) {
  Simulation.isolate(0, true);
  run(seconds(2));
  auto IsNew = [](const fake_instance &Instance) { return Instance.Term == 2; };
  fake_instance &First = Simulation.Instances[1];
  fake_instance &Second = Simulation.Instances[2];
  BOOST_REQUIRE(IsNew(First) && IsNew(Second));
  bool IsFirstPrimary = First.Role == instance_role::Primary;
  simulation::crash(IsFirstPrimary ? First : Second);
  Simulation.Instances[0].Log.resize(Simulation.Instances[0].Log.size() +
                                     10'000);
  Simulation.isolate(0, false);
  run(seconds(3));
  BOOST_TEST(allSee(3, IsFirstPrimary ? "i2" : "i1"));
}

// Guards against a group that stays without a primary because a crashed
// promoter raised instances to a term in which it promoted none.
BOOST_AUTO_TEST_CASE(group_recovers_when_promoter_and_candidate_crash) {
  simulation::crash(Simulation.Instances[0]);
  simulation::crash(runUntilStage(promotion_stage::Promoting));
  run(milliseconds(100));
  Simulation.Instances[0].IsAlive = true;
  simulation::crash(Simulation.Instances[1]);
  run(seconds(5));
  BOOST_TEST(Simulation.Instances[2].Term > 1U);
  BOOST_TEST((Simulation.Instances[0].Role == instance_role::Primary ||
              Simulation.Instances[2].Role == instance_role::Primary));
}

// Guards against claiming another term while a promoter waits for leases to
// expire.
BOOST_AUTO_TEST_CASE(no_takeover_while_a_promoter_waits_for_leases) {
  simulation_options Options;
  Options.Strategy = std::make_shared<term_lease_strategy>();
  simulation Leased(Options);
  Leased.runUntil(Leased.Now + seconds(1));
  simulation::crash(Leased.Instances[0]);
  Leased.runUntil(Leased.Now + seconds(6));
  BOOST_TEST(Leased.Store.record().Term == 2U);
  BOOST_TEST(Leased.Hosts[1].Failover->view().Primary.has_value());
}

// Guards against a promoter that, after a pause, relies on a claim whose answer
// was lost.
BOOST_AUTO_TEST_CASE(
    failover_completes_when_a_paused_promoter_loses_its_claim) {
  simulation::crash(Simulation.Instances[0]);
  sim_host &Promoter = runUntilStage(promotion_stage::Claiming);
  Simulation.Store.Mode = store_mode::LosesAnswers;
  Promoter.PausedUntil = Simulation.Now + seconds(3);
  run(seconds(1));
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(6));
  BOOST_TEST(hasFailedOver(Simulation.Store.record().Term));
}

// Guards against a group that stays without a primary after the table service
// has recovered from a long outage.
BOOST_AUTO_TEST_CASE(crash_in_a_long_store_outage_is_followed_by_a_failover) {
  Simulation.Store.Mode = store_mode::Down;
  run(seconds(30));
  simulation::crash(Simulation.Instances[0]);
  run(seconds(30));
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(3));
  BOOST_TEST(hasFailedOver(2));
}

// Guards against an acknowledgement of a write that was committed only by a
// replaced primary.
BOOST_AUTO_TEST_CASE(
    writes_to_a_partitioned_former_primary_are_not_acknowledged) {
  Simulation.isolate(0, true);
  run(seconds(4));
  std::size_t Acknowledged = 0;
  for (write_id Write : Simulation.Ended)
    if (Simulation.Writes[Write].Result == write_result::Acknowledged)
      Acknowledged += Simulation.Writes[Write].Position.Term == 1 &&
                      Simulation.Writes[Write].EndedAt >
                          base::fromMicroseconds(101'500'000);
  BOOST_TEST(Acknowledged == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
