#include "failover_runs.h"

#include <set>

namespace radishrelay::bench {

using namespace groups;
using namespace groups::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds WarmUp(2);
constexpr seconds OutageLength(10);
constexpr seconds OutageLead(5);
constexpr seconds LongestGap(15);

simulation makeWorld(const failover_case &Case, std::uint64_t Seed) {
  simulation_options Options;
  Options.Seed = Seed;
  Options.Strategy = Case.Strategy;
  Options.Timing = Case.Timing;
  Options.MinDelay = Options.MaxDelay = Case.Latency;
  Options.ReplicationLag = milliseconds(1 + base::mixBits(Seed) % 100);
  Options.WriteInterval = milliseconds(20);
  return simulation(Options);
}

void runFor(simulation &World, base::duration Length) {
  World.runUntil(World.Now + Length);
}

/// Ends the first write of a later term that was acknowledged, or nothing.
std::optional<base::time_point> runToNewTerm(simulation &World) {
  base::time_point End = World.Now + LongestGap;
  std::size_t Seen = World.Ended.size();
  while (World.Now < End) {
    World.step();
    for (; Seen < World.Ended.size(); ++Seen) {
      const write_record &Write = World.Writes[World.Ended[Seen]];
      if (Write.Result == write_result::Acknowledged && Write.Position.Term > 1)
        return Write.EndedAt;
    }
  }
  return {};
}

void fail(simulation &World, failure_kind Failure) {
  // A random phase of the probes.
  runFor(World, milliseconds(World.Random.below(400)));
  if (Failure == failure_kind::CrashInStoreOutage) {
    World.Store.Mode = store_mode::Down;
    World.after(OutageLength, [&World] { World.Store.Mode = store_mode::Up; });
    runFor(World, OutageLead);
  }
  World.DetectedAt.reset();
  if (Failure == failure_kind::Partition)
    World.isolate(0, true);
  else
    simulation::crash(World.Instances[0]);
}

void settle(simulation &World) {
  World.IsWriting = false;
  World.IsLinkDown = {};
  World.Store.Mode = store_mode::Up;
  World.Instances[0].IsAlive = true;
  runFor(World, seconds(5));
}

void countWrites(const simulation &World, base::time_point FailedAt,
                 failover_measures &Measures) {
  auto IsLast = [](const fake_instance &Left, const fake_instance &Right) {
    return Left.Term < Right.Term;
  };
  const fake_instance &Last =
      *std::ranges::max_element(World.Instances, IsLast);
  std::set<write_id> Kept(Last.Log.begin(), Last.Log.end());
  for (write_id Write = 0; Write < World.Writes.size(); ++Write) {
    const write_record &Record = World.Writes[Write];
    Measures.Unknown += Record.Result == write_result::Unknown ? 1 : 0;
    Measures.NotRun += Record.Result == write_result::NotRun ? 1 : 0;
    if (Record.Result != write_result::Acknowledged)
      continue;
    ++Measures.Acknowledged;
    Measures.Lost += Kept.contains(Write) ? 0 : 1;
    // The first second has hosts that do not know the primary yet.
    if (Record.StartedAt > World.Writes.front().StartedAt + seconds(1) &&
        Record.EndedAt < FailedAt)
      Measures.Latency.push_back(Record.EndedAt - Record.StartedAt);
  }
}

} // namespace

failover_measures runFailovers(const failover_case &Case, std::uint64_t Seeds) {
  failover_measures Measures;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    simulation World = makeWorld(Case, Seed);
    runFor(World, WarmUp);
    fail(World, Case.Failure);
    base::time_point FailedAt = World.Now;
    if (auto ServedAt = runToNewTerm(World)) {
      Measures.GapFromFailure.push_back(*ServedAt - FailedAt);
      Measures.GapFromDetection.push_back(*ServedAt -
                                          World.DetectedAt.value_or(FailedAt));
    } else {
      ++Measures.NeverServed;
    }
    runFor(World, seconds(1));
    settle(World);
    countWrites(World, FailedAt, Measures);
  }
  return Measures;
}

store_outage_measures runStoreOutages(const failover_case &Case,
                                      std::uint64_t Seeds) {
  store_outage_measures Measures;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    simulation World = makeWorld(Case, Seed);
    runFor(World, WarmUp);
    World.Store.Mode = store_mode::Down;
    std::size_t First = World.Writes.size();
    runFor(World, OutageLength);
    World.IsWriting = false;
    runFor(World, seconds(2));
    for (std::size_t Write = First; Write < World.Writes.size(); ++Write) {
      ++Measures.Started;
      if (World.Writes[Write].Result == write_result::Acknowledged)
        ++Measures.Acknowledged;
    }
  }
  return Measures;
}

} // namespace radishrelay::bench
