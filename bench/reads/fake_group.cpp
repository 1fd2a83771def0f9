#include "fake_group.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace radishrelay::bench {

namespace {

constexpr double MeanServiceUs = 2000;
/// The lag of an entry varies by this part of the mean in both directions.
constexpr double LagJitter = 0.2;

} // namespace

fake_group::fake_group(event_queue &Events, const deployment &Deployment,
                       base::duration Lag, std::uint64_t Seed)
    : Events(Events), Slots(Deployment.Slots), Lag(Lag), Random(Seed) {}

void fake_group::run(std::size_t Instance, started Started,
                     event_queue::callback Ended) {
  Instances[Instance].Waiting.push_back({std::move(Started), std::move(Ended)});
  startNext(Instance);
}

void fake_group::startNext(std::size_t Instance) {
  instance &Item = Instances[Instance];
  if (Item.Running >= Slots || Item.Waiting.empty())
    return;
  job Job = std::move(Item.Waiting.front());
  Item.Waiting.pop_front();
  ++Item.Running;
  Job.Started(status(Instance));
  base::duration Service(std::llround(Random.exponential(MeanServiceUs)));
  auto Finish = [this, Instance, Ended = std::move(Job.Ended)] {
    --Instances[Instance].Running;
    Ended();
    startNext(Instance);
  };
  Events.schedule(Events.now() + Service, std::move(Finish));
}

groups::log_position fake_group::commit() {
  Instances[0].HeldAt.push_back(Events.now());
  for (std::size_t Index = 1; Index < InstanceCount; ++Index) {
    std::vector<base::time_point> &HeldAt = Instances[Index].HeldAt;
    double Part = 1 + LagJitter * (2 * Random.unit() - 1);
    base::duration Delay(std::llround(static_cast<double>(Lag.count()) * Part));
    base::time_point At = Events.now() + Delay;
    HeldAt.push_back(HeldAt.empty() ? At : std::max(At, HeldAt.back()));
  }
  return {1, Instances[0].HeldAt.size()};
}

groups::instance_status fake_group::status(std::size_t Instance) const {
  const std::vector<base::time_point> &HeldAt = Instances[Instance].HeldAt;
  auto End = std::upper_bound(HeldAt.begin(), HeldAt.end(), Events.now());
  groups::instance_status Status;
  bool IsPrimary = Instance == 0;
  Status.Role = IsPrimary ? groups::instance_role::Primary
                          : groups::instance_role::Replica;
  Status.Position = {1, static_cast<groups::log_offset>(End - HeldAt.begin())};
  Status.RaisedTerm = 1;
  Status.TermStarts = {{1, 0}};
  return Status;
}

base::time_point fake_group::firstReplicaAt(groups::log_offset Offset) const {
  return std::min(Instances[1].HeldAt[Offset - 1],
                  Instances[2].HeldAt[Offset - 1]);
}

} // namespace radishrelay::bench
