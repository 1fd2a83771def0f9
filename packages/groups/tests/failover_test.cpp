#include "simulation/simulation.h"

#include "radishrelay/groups/term_lease_strategy.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace radishrelay;
using namespace radishrelay::groups;
using namespace radishrelay::groups::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A group whose primary is instance 0, a second after the start.
struct running_group {
  running_group() { run(seconds(1)); }

  void run(base::duration Length) {
    Simulation.runUntil(Simulation.Now + Length);
  }

  /// True when all hosts name the same primary of a term.
  bool allSee(term_number Term, const char *Primary) {
    return std::ranges::all_of(Simulation.Hosts, [&](const sim_host &Host) {
      const group_view &View = Host.Failover->view();
      return View.Term == Term && View.Primary == base::instance_id(Primary);
    });
  }

  /// True when all hosts agree on a primary of \p Term other than i0.
  bool hasFailedOver(term_number Term) {
    return allSee(Term, "i1") || allSee(Term, "i2");
  }

  /// Runs until a host's promoter is in \p Stage and returns that host.
  sim_host &runUntilStage(promotion_stage Stage) {
    base::time_point End = Simulation.Now + seconds(5);
    while (Simulation.Now < End) {
      Simulation.step();
      for (sim_host &Host : Simulation.Hosts)
        if (Host.Failover->promotionStage() == Stage)
          return Host;
    }
    BOOST_FAIL("no promoter reached the stage");
    return Simulation.Hosts.front();
  }

  simulation Simulation{simulation_options{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(failover, running_group)

BOOST_AUTO_TEST_SUITE(a_healthy_primary_stays)

// Guards against promotions without a failure.
BOOST_AUTO_TEST_CASE(without_faults) {
  run(seconds(20));
  BOOST_TEST(allSee(1, "i0"));
  BOOST_TEST(Simulation.Store.Writes == 0U);
}

// Guards against flapping on one slow probe.
BOOST_AUTO_TEST_CASE(when_it_pauses_for_one_probe) {
  Simulation.Instances[0].PausedUntil = Simulation.Now + milliseconds(220);
  run(seconds(3));
  BOOST_TEST(allSee(1, "i0"));
}

// Guards against one failure domain that decides alone.
BOOST_AUTO_TEST_CASE(when_one_domain_loses_it) {
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

// Guards against a host that takes its own pause for the primary's.
BOOST_AUTO_TEST_CASE(when_a_host_resumes) {
  Simulation.Hosts[1].PausedUntil = Simulation.Now + seconds(5);
  run(seconds(8));
  BOOST_TEST(allSee(1, "i0"));
}

// Guards against writes that need the store.
BOOST_AUTO_TEST_CASE(while_the_store_is_down) {
  Simulation.Store.Mode = store_mode::Down;
  std::size_t Before = Simulation.Ended.size();
  run(seconds(20));
  BOOST_TEST(Simulation.Ended.size() > Before + 5000);
  for (write_id Write : Simulation.Ended)
    BOOST_REQUIRE(
        (Simulation.Writes[Write].Result == write_result::Acknowledged));
}

// Guards against a message repeated by one domain that counts as agreement.
BOOST_AUTO_TEST_CASE(when_suspicions_come_from_its_own_domain_or_term) {
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

// Guards against a state dump that does not say what the host does.
BOOST_AUTO_TEST_CASE(and_the_state_dump_names_it) {
  base::json Dump = Simulation.Hosts[1].Failover->dump();
  BOOST_TEST(Dump["primary"] == "i0");
  BOOST_TEST(Dump["term"] == 1);
  BOOST_TEST(Dump["promoter"]["stage"] == "idle");
  BOOST_TEST(Simulation.Hosts[1].Tracker->dump()["strategy"] ==
             "stored_term_majority");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_failed_primary_is_replaced)

BOOST_AUTO_TEST_CASE(when_it_is_dead) {
  simulation::crash(Simulation.Instances[0]);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
  BOOST_TEST((Simulation.Store.record().Primary ==
              Simulation.Hosts[0].Failover->view().Primary));
}

BOOST_AUTO_TEST_CASE(when_it_is_silent) {
  Simulation.Instances[0].PausedUntil = Simulation.Now + seconds(60);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
}

// Guards against a primary that serves its own domain only.
BOOST_AUTO_TEST_CASE(when_it_is_partitioned) {
  Simulation.isolate(0, true);
  run(seconds(2));
  BOOST_TEST(Simulation.Hosts[1].Failover->view().Term == 2U);
  BOOST_TEST(Simulation.Hosts[2].Failover->view().Primary.has_value());
  Simulation.isolate(0, false);
  run(seconds(2));
  BOOST_TEST(hasFailedOver(2));
}

// Guards against waiting for domains that cannot be reached.
BOOST_AUTO_TEST_CASE(by_one_domain_that_reaches_no_other) {
  simulation::crash(Simulation.Instances[0]);
  simulation::crash(Simulation.Hosts[0]);
  simulation::crash(Simulation.Hosts[1]);
  Simulation.Hosts[2].Failover->handle(
      reachable_domains{{base::failure_domain_id("d2")}}, Simulation.Now);
  run(seconds(2));
  BOOST_TEST(Simulation.Hosts[2].Failover->view().Term == 2U);
}

// Guards against a primary of a lower term that takes writes again.
BOOST_AUTO_TEST_CASE(and_follows_when_it_returns) {
  simulation::crash(Simulation.Instances[0]);
  run(seconds(2));
  Simulation.Instances[0].IsAlive = true;
  run(seconds(2));
  BOOST_TEST((Simulation.Instances[0].Role == instance_role::Replica));
  BOOST_TEST(Simulation.Instances[0].Term == 2U);
  BOOST_TEST(hasFailedOver(2));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_store_fails)

// Guards against a promotion in a term that nobody owns.
BOOST_AUTO_TEST_CASE(before_a_promotion_so_none_starts) {
  Simulation.Store.Mode = store_mode::Down;
  simulation::crash(Simulation.Instances[0]);
  run(seconds(10));
  for (const fake_instance &Instance : Simulation.Instances)
    BOOST_TEST(Instance.RaisedTerm == 1U);
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(5));
  BOOST_TEST(Simulation.Hosts[1].Failover->view().Primary.has_value());
}

// Guards against retries that keep a recovering store down.
BOOST_AUTO_TEST_CASE(for_long_and_retries_stay_within_their_budget) {
  Simulation.Store.Mode = store_mode::Down;
  simulation::crash(Simulation.Instances[0]);
  run(seconds(60));
  failover_options Options;
  std::uint64_t PerHost =
      Options.RetryBurst +
      static_cast<std::uint64_t>(seconds(60) / Options.RetryInterval) + 1;
  BOOST_TEST(Simulation.Store.Calls <= simulation::Domains * PerHost);
}

// Guards against hosts that wait for the store to learn the new primary.
BOOST_AUTO_TEST_CASE(after_the_claim_so_probing_finds_the_primary) {
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

// Guards against a claim that is taken for lost, or made twice.
BOOST_AUTO_TEST_CASE(and_loses_the_answer_to_the_claim) {
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

BOOST_AUTO_TEST_SUITE(the_promoter_fails)

// Guards against a group without a primary after half a promotion.
BOOST_AUTO_TEST_CASE(dies_midway_so_another_uses_the_next_term) {
  simulation::crash(Simulation.Instances[0]);
  simulation::crash(runUntilStage(promotion_stage::Promoting));
  run(seconds(4));
  auto IsServed = [](const sim_host &Host) {
    return !Host.IsAlive || Host.Failover->view().Primary.has_value();
  };
  BOOST_TEST(std::ranges::all_of(Simulation.Hosts, IsServed));
}

// Guards against a second primary by a promoter that resumes.
BOOST_AUTO_TEST_CASE(pauses_midway_and_is_too_late) {
  simulation::crash(Simulation.Instances[0]);
  runUntilStage(promotion_stage::Raising).PausedUntil =
      Simulation.Now + seconds(6);
  run(seconds(5));
  BOOST_TEST(Simulation.Store.record().Term == 3U);
  run(seconds(5));
  BOOST_TEST(hasFailedOver(3));
}

// Guards against a race for the term that ends with two owners.
BOOST_AUTO_TEST_CASE(races_with_others) {
  simulation::crash(Simulation.Instances[0]);
  run(milliseconds(300));
  for (sim_host &Host : Simulation.Hosts)
    Host.PausedUntil = Simulation.Now + milliseconds(400);
  run(seconds(4));
  BOOST_TEST(hasFailedOver(Simulation.Store.record().Term));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(two_failures_at_once)

// Guards against a promotion of the less advanced of two replicas.
BOOST_AUTO_TEST_CASE(primary_dies_while_a_replica_lags) {
  Simulation.IsLinkDown[0][1] = true;
  run(seconds(1));
  Simulation.IsLinkDown[0][1] = false;
  simulation::crash(Simulation.Instances[0]);
  run(seconds(2));
  BOOST_TEST(allSee(2, "i2"));
}

// Guards against ranking a partial copy of a newer term's log above a log that
// holds every acknowledged write.
BOOST_AUTO_TEST_CASE(primary_dies_while_a_replica_copies_a_newer_term) {
  simulation::crash(Simulation.Instances[0]);
  fake_instance &Partial = Simulation.Instances[1];
  Partial.Term = Partial.RaisedTerm = 2;
  Partial.Starts.push_back({2, Partial.Log.size()});
  Partial.Log.resize(Partial.Log.size() / 2);
  run(seconds(3));
  BOOST_TEST(allSee(3, "i2"));
}

// Guards against ranking by length alone: an old primary's tail that no other
// instance has can be longer than the log of the newer term.
BOOST_AUTO_TEST_CASE(primary_dies_while_the_old_one_returns) {
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

// Guards against a term raised by a dead promoter that blocks the primary.
BOOST_AUTO_TEST_CASE(promoter_and_its_candidate_die) {
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

// Guards against a takeover from a promoter that waits for leases to end.
BOOST_AUTO_TEST_CASE(leases_run_while_the_primary_is_dead) {
  simulation_options Options;
  Options.Strategy = std::make_shared<term_lease_strategy>();
  simulation Leased(Options);
  Leased.runUntil(Leased.Now + seconds(1));
  simulation::crash(Leased.Instances[0]);
  Leased.runUntil(Leased.Now + seconds(6));
  BOOST_TEST(Leased.Store.record().Term == 2U);
  BOOST_TEST(Leased.Hosts[1].Failover->view().Primary.has_value());
}

// Guards against a promoter that counts on its term after losing the store.
BOOST_AUTO_TEST_CASE(promoter_pauses_while_the_store_loses_its_claim) {
  simulation::crash(Simulation.Instances[0]);
  sim_host &Promoter = runUntilStage(promotion_stage::Claiming);
  Simulation.Store.Mode = store_mode::LosesAnswers;
  Promoter.PausedUntil = Simulation.Now + seconds(3);
  run(seconds(1));
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(6));
  BOOST_TEST(hasFailedOver(Simulation.Store.record().Term));
}

// Guards against a gap in which no write is possible after the store's return.
BOOST_AUTO_TEST_CASE(primary_dies_in_a_long_store_outage) {
  Simulation.Store.Mode = store_mode::Down;
  run(seconds(30));
  simulation::crash(Simulation.Instances[0]);
  run(seconds(30));
  Simulation.Store.Mode = store_mode::Up;
  run(seconds(3));
  BOOST_TEST(hasFailedOver(2));
}

// Guards against an acknowledgement by a primary that has been replaced.
BOOST_AUTO_TEST_CASE(host_stays_with_a_partitioned_primary) {
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
