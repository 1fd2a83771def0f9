#include "support/fake_fleet.h"
#include "support/simulated_fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace radishrelay::sessions::tests {

namespace {

std::uint64_t environmentNumber(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

using draw_function = std::vector<scheduled_fault> (*)(std::uint64_t);

/// One of the cases: how its schedules are drawn, and what its clients do.
struct search_case {
  draw_function Draw;
  client_habit (*Habit)(std::uint64_t);
  base::duration MaxReportDelay{};
  int SyncReplicas = 1;
  base::duration MaxStatementPause{};

  [[nodiscard]] fleet_shape shape(std::uint64_t Seed) const {
    fleet_shape Shape;
    Shape.Load.MaxStatementPause = MaxStatementPause;
    Shape.Habit = Habit(Seed);
    Shape.MaxReportDelay = MaxReportDelay;
    Shape.SyncReplicas = SyncReplicas;
    return Shape;
  }
};

/// Interval of the instances' reports to the store.
constexpr base::duration ReportInterval = 1200ms;

client_habit plainHabit(std::uint64_t) { return client_habit::Plain; }

client_habit variedHabit(std::uint64_t Seed) {
  return Seed % 3 == 0 ? client_habit::RollingBack : client_habit::Varied;
}

/// Returns the first promise that the schedule breaks, if any.
std::string brokenPromise(const search_case &Case, std::uint64_t Seed,
                          const std::vector<scheduled_fault> &Faults) {
  simulated_fleet Fleet(Seed, Faults, Case.shape(Seed));
  Fleet.run();
  return Fleet.group().broken().empty() ? std::string()
                                        : Fleet.group().broken().front().Text;
}

/// Removes each fault without which the schedule still breaks a promise.
std::vector<scheduled_fault> shrink(const search_case &Case, std::uint64_t Seed,
                                    std::vector<scheduled_fault> Faults) {
  for (std::size_t Index = 0; Index < Faults.size();) {
    std::vector<scheduled_fault> Fewer = Faults;
    Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(Index));
    if (!brokenPromise(Case, Seed, Fewer).empty())
      Faults = std::move(Fewer);
    else
      ++Index;
  }
  return Faults;
}

/// Says what the schedule breaks without the faults of the kind Stutter.
std::string withoutStutter(const search_case &Case, std::uint64_t Seed) {
  std::vector<scheduled_fault> Faults = Case.Draw(Seed);
  bool HasStutter = std::erase_if(Faults, [](const scheduled_fault &Fault) {
                      return Fault.Kind == fault_kind::Stutter;
                    }) > 0;
  if (!HasStutter)
    return {};
  std::string Broken = brokenPromise(Case, Seed, Faults);
  return "\n  without stutter: " +
         (Broken.empty() ? "no promise is broken" : Broken);
}

std::string report(const search_case &Case, std::uint64_t Seed,
                   const simulated_fleet &Fleet) {
  const broken_promise &First = Fleet.group().broken().front();
  std::string Text = "seed " + std::to_string(Seed) + ", step " +
                     std::to_string(Fleet.steps()) + ": " + First.Text;
  for (const scheduled_fault &Fault : shrink(Case, Seed, Case.Draw(Seed)))
    Text += "\n  " + describe(Fault);
  return Text + withoutStutter(Case, Seed);
}

void search(const search_case &Case, std::uint64_t DefaultSteps) {
  std::uint64_t Seed = environmentNumber("RADISHRELAY_SEARCH_SEED", 1);
  std::uint64_t MaxSteps =
      environmentNumber("RADISHRELAY_SEARCH_STEPS", DefaultSteps);
  std::uint64_t Steps = 0;
  std::uint64_t Schedules = 0;
  std::uint64_t Commits = 0;
  std::uint64_t Promotions = 0;
  std::uint64_t Failures = 0;
  for (; Steps < MaxSteps; ++Seed) {
    simulated_fleet Fleet(Seed, Case.Draw(Seed), Case.shape(Seed));
    if (std::getenv("RADISHRELAY_SEARCH_TRACE"))
      Fleet.enableTrace();
    Fleet.run();
    Steps += Fleet.steps();
    ++Schedules;
    Commits += Fleet.group().acknowledgedCommits();
    Promotions += Fleet.group().promotions();
    if (Fleet.group().broken().empty())
      continue;
    BOOST_ERROR(report(Case, Seed, Fleet) + "\n  after " +
                std::to_string(Steps) + " steps");
    constexpr std::uint64_t MaxFailures = 3;
    if (++Failures == MaxFailures)
      break;
  }
  BOOST_TEST_MESSAGE(Schedules << " schedules, " << Steps << " steps, "
                               << Commits << " acknowledged commits, "
                               << Promotions << " promotions");
  // The schedules are of use only if the fleet serves and fails over in them.
  BOOST_TEST(Commits > 10 * Schedules);
  BOOST_TEST(Promotions > 0U);
}

/// Plays one schedule on some seeds, which vary latencies and what clients do.
void repeat(const std::vector<scheduled_fault> &Faults,
            const fleet_shape &Shape = {}) {
  constexpr std::uint64_t SeedCount = 20;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
    simulated_fleet Fleet(Seed, Faults, Shape);
    if (std::getenv("RADISHRELAY_SEARCH_TRACE"))
      Fleet.enableTrace();
    Fleet.run();
    for (const broken_promise &Broken : Fleet.group().broken())
      BOOST_ERROR("seed " + std::to_string(Seed) + ": " + Broken.Text);
    BOOST_TEST(Fleet.group().promotions() > 0U);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_fleet_under_series_of_faults)

// Guards against promotions that lose acknowledged commits, reads that miss
// them, writes that run twice and refusals of writes that were committed.
BOOST_AUTO_TEST_CASE(keeps_its_promises) {
  search({drawFaults, plainHabit}, 1'000'000);
}

// Guards against hosts that rely on what the store has lost.
BOOST_AUTO_TEST_CASE(keeps_its_promises_while_the_store_is_restored) {
  search({drawFaultsWithRestores, plainHabit}, 5'000'000);
}

// Guards against an order that takes effect after the claim of its sender has
// passed to another host.
BOOST_AUTO_TEST_CASE(keeps_its_promises_while_promoting_hosts_fail) {
  search({drawFaultsOfPromoters, plainHabit}, 5'000'000);
}

// Guards against answers that arrive twice and are taken for those of other
// statements, probes or orders.
BOOST_AUTO_TEST_CASE(keeps_its_promises_while_instances_answer_twice) {
  search({drawFaultsWithStutter, variedHabit}, 20'000'000);
}

// Guards against statements that reach an evacuated failure domain too late,
// too many that reach a cold instance, and promotions that lose commits.
BOOST_AUTO_TEST_CASE(keeps_its_promises_while_failure_domains_are_evacuated) {
  search({drawFaultsWithEvacuations, variedHabit}, 10'000'000);
}

// Guards against commits that are confirmed by a replica which is not listed
// yet, on hosts that still reach a primary which others replace (review/12).
BOOST_AUTO_TEST_CASE(keeps_its_promises_while_some_hosts_lose_the_primary) {
  search({drawFaultsWithPathCuts, plainHabit, ReportInterval}, 5'000'000);
}

// Guards against promotions of instances without the log, by hosts that were
// all killed while the instances were being replaced (review/11).
BOOST_AUTO_TEST_CASE(keeps_its_promises_while_all_hosts_are_killed) {
  search({drawFaultsWithMassKills, plainHabit, ReportInterval}, 5'000'000);
}

// Guards against commits of a replaced primary that clients of a group without
// synchronous replicas are told of (review/13).
BOOST_AUTO_TEST_CASE(keeps_its_promises_without_synchronous_replicas) {
  search({drawFaultsWithPathCuts, variedHabit, ReportInterval, 0, 1500ms},
         5'000'000);
}

// Guards against commits that are acknowledged with an instance which has
// started inside a cut domain, where nobody outside can know of it.
BOOST_AUTO_TEST_CASE(keeps_its_promises_when_a_primary_is_replaced_in_a_cut) {
  repeat({{fault_kind::CutDomain, 5000ms, 5500ms, 0},
          {fault_kind::ReplacePrimary, 5700ms, 0ms, 0}});
}

// Guards against the same within the lease duration after the cut (review/6).
BOOST_AUTO_TEST_CASE(
    keeps_its_promises_when_a_primary_is_replaced_just_after_a_cut) {
  for (base::duration Delay : {20ms, 100ms, 300ms, 500ms})
    repeat({{fault_kind::CutDomain, 5000ms, 5500ms, 0},
            {fault_kind::ReleasePrimaryAfterStart, 5000ms + Delay, 0ms, 0}});
}

// Guards against commits that a host which still reaches the primary answers,
// and that only a replica has which is not listed yet (review/12).
BOOST_AUTO_TEST_CASE(keeps_its_promises_when_a_replica_joins_beside_a_cut) {
  // Hosts of all failure domains lose the primary, one does not.
  constexpr std::size_t AllHostsButTheSecond = 0b111101;
  for (base::duration Start : {500ms, 1000ms, 1500ms, 2000ms})
    repeat({{fault_kind::CutHostsFromPrimary, 5000ms, 5000ms,
             AllHostsButTheSecond},
            {fault_kind::ReleaseAfterStart, 5000ms + Start, 0ms, 2}},
           {.MaxReportDelay = ReportInterval});
}

// Guards against a host that starts while the promoted instance is down and
// proves the old primary with a replica that has not heard of the promotion.
BOOST_AUTO_TEST_CASE(
    keeps_its_promises_when_a_host_starts_while_the_new_primary_is_down) {
  std::vector<scheduled_fault> Faults{
      {fault_kind::Deaf, 4700ms, 2700ms, 2},
      {fault_kind::IsolatePrimary, 5000ms, 2400ms, 0},
      {fault_kind::CrashPrimary, 7200ms, 6800ms, 0}};
  for (std::size_t Host = 0; Host < 6; ++Host)
    Faults.push_back({fault_kind::KillHost, 7450ms, 200ms, Host});
  repeat(Faults);
}

// Guards against a replica that has been deaf during a promotion and proves the
// old primary once more, or confirms its commits.
BOOST_AUTO_TEST_CASE(
    keeps_its_promises_when_a_replica_has_not_heard_of_a_promotion) {
  repeat({{fault_kind::CutDomain, 2100ms, 6200ms, 0},
          {fault_kind::Deaf, 2500ms, 5800ms, 2},
          {fault_kind::IsolatePrimary, 8000ms, 6000ms, 0}});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace radishrelay::sessions::tests
