#include "simulation/simulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <set>

namespace {

using namespace radishrelay;
using namespace radishrelay::groups;
using namespace radishrelay::groups::testing;
using std::chrono::milliseconds;

/// Watches the promises of writes and failover, after every step.
class promises {
public:
  explicit promises(const simulation &World) : World(World) {}

  /// Returns the first broken promise, or an empty text.
  const std::string &check() {
    checkTerms();
    for (const fake_instance &Instance : World.Instances)
      if (Instance.Role == instance_role::Primary)
        checkPrimary(Instance);
    for (; Seen < World.Ended.size(); ++Seen)
      checkEnded(World.Ended[Seen]);
    checkNotRun();
    return Broken;
  }

  /// Returns a text after a quiet time without faults.
  const std::string &checkQuiet() {
    check();
    std::set<write_id> Kept;
    for (write_id Write : Last->Log)
      require(Kept.insert(Write).second, "a write ran twice");
    for (write_id Write : Acknowledged)
      require(Kept.contains(Write), "an acknowledged write is lost at the end");
    for (const sim_host &Host : World.Hosts)
      require(Host.Failover->view().Primary == Last->Id,
              "a host does not know the primary");
    return Broken;
  }

  std::size_t acknowledged() const { return Acknowledged.size(); }
  std::size_t promotions() const { return Primaries.size() - 1; }

private:
  void require(bool IsKept, const char *Promise) {
    if (!IsKept && Broken.empty())
      Broken = Promise;
  }

  void checkTerms() {
    std::size_t At = 0;
    auto Grows = [&](term_number Term) {
      require(Term >= Terms[At], "a term went back");
      Terms[At++] = Term;
    };
    group_record Stored = World.Store.record();
    require(Stored.Operation == Operation || Stored.Term > Terms[0],
            "a term was claimed twice");
    Operation = Stored.Operation;
    Grows(Stored.Term);
    for (const fake_instance &Instance : World.Instances)
      Grows(Instance.RaisedTerm);
    for (const sim_host &Host : World.Hosts) {
      // A restarted host knows nothing.
      if (std::exchange(Incarnations[At], Host.Incarnation) != Host.Incarnation)
        Terms[At] = 0;
      Grows(Host.Failover->view().Term);
    }
  }

  void checkPrimary(const fake_instance &Instance) {
    auto [Known, IsNew] = Primaries.emplace(Instance.Term, &Instance);
    require(Known->second == &Instance, "two primaries in one term");
    if (!IsNew || Instance.Term <= LastTerm)
      return;
    LastTerm = Instance.Term;
    Last = &Instance;
    PromotedAt = World.Now;
    for (write_id Write : Acknowledged)
      require(survives(Write), "an acknowledged write is lost");
  }

  void checkEnded(write_id Write) {
    if (World.Writes[Write].Result == write_result::NotRun)
      NotRun.push_back(Write);
    if (World.Writes[Write].Result != write_result::Acknowledged)
      return;
    Acknowledged.push_back(Write);
    require(survives(Write), "acknowledged a write that no log keeps");
    // Evidence is used for as long as a call may take.
    base::duration EvidenceLifetime = write_tracker_options{}.CallTimeout;
    require(World.Writes[Write].Position.Term >= LastTerm ||
                World.Now <= PromotedAt + EvidenceLifetime,
            "acknowledged for a primary that was replaced before");
  }

  void checkNotRun() {
    for (write_id Write : NotRun)
      require(World.Writes[Write].Position.Term == 0,
              "a write refused as not run has run");
  }

  [[nodiscard]] bool survives(write_id Write) const {
    log_offset End = World.Writes[Write].Position.Offset;
    return End > 0 && End <= Last->Log.size() && Last->Log[End - 1] == Write;
  }

  const simulation &World;
  std::string Broken;
  std::array<term_number, 1 + 2 * simulation::Domains> Terms{};
  std::array<std::uint64_t, 1 + 2 * simulation::Domains> Incarnations{};
  std::string Operation;
  std::map<term_number, const fake_instance *> Primaries;
  term_number LastTerm = 0;
  base::time_point PromotedAt;
  const fake_instance *Last = nullptr;
  std::size_t Seen = 0;
  std::vector<write_id> Acknowledged;
  std::vector<write_id> NotRun;
};

void heal(simulation &World) {
  World.IsCut = {};
  World.Store.Mode = store_mode::Up;
  for (fake_instance &Instance : World.Instances)
    Instance.IsAlive = true;
}

void injectFault(simulation &World, base::random_generator &Random) {
  std::size_t Domain = Random.below(simulation::Domains);
  if (Random.chance(0.5)) // a primary's domain, to provoke failovers
    for (const fake_instance &Candidate : World.Instances)
      if (Candidate.Role == instance_role::Primary)
        Domain = Candidate.Domain;
  base::duration Length = milliseconds(Random.below(1000));
  fake_instance &Instance = World.Instances[Domain];
  switch (Random.below(13)) {
  case 0:
    simulation::crash(Instance);
    World.after(Length, [&Instance] { Instance.IsAlive = true; });
    break;
  case 1:
    Instance.PausedUntil = World.Now + Length;
    break;
  case 2:
    World.Hosts[Domain].PausedUntil = World.Now + Length;
    break;
  case 3:
    World.restart(World.Hosts[Domain]);
    break;
  case 4:
    World.isolate(Domain, true);
    break;
  case 5: // one direction only: calls arrive, answers are lost
    World.isolate(Domain, true);
    for (auto &From : World.IsCut)
      From[Domain] = false;
    break;
  case 6:
    World.Store.Mode = store_mode::Down;
    break;
  case 7:
    World.Store.Mode = store_mode::LosesAnswers;
    break;
  case 8: // a pause that spans a failover
    simulation::crash(Instance);
    World.after(Length, [&Instance] { Instance.IsAlive = true; });
    for (sim_host &Host : World.Hosts)
      if (Random.chance(0.5))
        Host.PausedUntil = World.Now + milliseconds(400 + Random.below(600));
    break;
  default:
    heal(World);
  }
}

struct run_result {
  std::string Broken;
  std::uint64_t Steps = 0;
  std::size_t Acknowledged = 0;
  std::size_t Promotions = 0;
  std::size_t Unknown = 0;
  std::size_t NotRun = 0;
};

/// Short times, so that a step is more often part of a failover.
failover_options fastTiming() {
  failover_options Timing;
  Timing.ProbeInterval = milliseconds(60);
  Timing.UrgentProbeInterval = milliseconds(25);
  Timing.ProbeTimeout = milliseconds(50);
  Timing.SuspicionLifetime = milliseconds(300);
  Timing.StartSpread = milliseconds(5);
  Timing.StoreTimeout = milliseconds(60);
  Timing.CallTimeout = milliseconds(50);
  Timing.AttemptTimeout = milliseconds(150);
  Timing.TakeoverDelay = milliseconds(100);
  Timing.FirstBackoff = milliseconds(20);
  Timing.LargestBackoff = milliseconds(200);
  Timing.RetryInterval = milliseconds(50);
  return Timing;
}

simulation_options optionsFor(std::uint64_t Seed) {
  simulation_options Options;
  Options.Seed = Seed;
  Options.LeastDelay = std::chrono::microseconds(500);
  Options.LargestDelay = milliseconds(Seed % 3 == 0 ? 20 : 5);
  Options.ReplicationLag = milliseconds(Seed % 7 * 15);
  Options.WriteInterval = milliseconds(20);
  Options.Timing = fastTiming();
  Options.CallSpacing = milliseconds(15);
  Options.DropChance = 0.02;
  Options.RepeatChance = 0.02;
  Options.SlowChance = 0.01;
  if (Seed % 4 == 0)
    Options.Strategy = std::make_shared<majority_strategy>();
  return Options;
}

run_result runSeed(std::uint64_t Seed, std::uint64_t Steps) {
  simulation World(optionsFor(Seed));
  promises Promises(World);
  base::random_generator Random(base::mixBits(Seed));
  base::time_point NextFault = World.Now;
  run_result Result;
  for (; Result.Steps < Steps && Result.Broken.empty(); ++Result.Steps) {
    if (World.Now >= NextFault) {
      injectFault(World, Random);
      NextFault += milliseconds(Random.below(300));
    }
    World.step();
    Result.Broken = Promises.check();
  }
  heal(World);
  World.Options.DropChance = World.Options.SlowChance = 0;
  World.IsWriting = false;
  World.runUntil(World.Now + std::chrono::seconds(20));
  if (Result.Broken.empty())
    Result.Broken = Promises.checkQuiet();
  Result.Acknowledged = Promises.acknowledged();
  Result.Promotions = Promises.promotions();
  for (const write_record &Write : World.Writes) {
    Result.Unknown += Write.Result == write_result::Unknown ? 1 : 0;
    Result.NotRun += Write.Result == write_result::NotRun ? 1 : 0;
  }
  return Result;
}

std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(failover_property)

// Guards against any loss of an acknowledged write, false acknowledgement,
// second primary of a term, term that goes back, or false "not run", under
// random faults. RADISHRELAY_PROPERTY_STEPS sets the number of steps,
// RADISHRELAY_PROPERTY_SEED the first seed; see docs/testing-failover.md.
BOOST_AUTO_TEST_CASE(promises_hold_after_every_step) {
  constexpr std::uint64_t StepsPerSeed = 50'000;
  std::uint64_t Steps = setting("RADISHRELAY_PROPERTY_STEPS", 600'000);
  std::uint64_t Seed = setting("RADISHRELAY_PROPERTY_SEED", 1);
  run_result Total;
  for (; Total.Steps < Steps; ++Seed) {
    run_result Result = runSeed(Seed, StepsPerSeed);
    BOOST_REQUIRE_MESSAGE(Result.Broken.empty(), "seed " << Seed << ", step "
                                                         << Result.Steps << ": "
                                                         << Result.Broken);
    Total.Steps += Result.Steps;
    Total.Acknowledged += Result.Acknowledged;
    Total.Promotions += Result.Promotions;
    Total.Unknown += Result.Unknown;
    Total.NotRun += Result.NotRun;
  }
  BOOST_TEST_MESSAGE(Total.Steps << " steps, " << Total.Promotions
                                 << " promotions, " << Total.Acknowledged
                                 << " acknowledged, " << Total.Unknown
                                 << " unknown, " << Total.NotRun << " not run");
  BOOST_TEST(Total.Promotions > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
