#ifndef RADISHRELAY_BENCH_READS_FAKE_GROUP_H
#define RADISHRELAY_BENCH_READS_FAKE_GROUP_H

#include "deployment.h"
#include "event_queue.h"

#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/instance_status.h"

#include <deque>
#include <functional>
#include <vector>

namespace radishrelay::bench {

/// Three instances on virtual time: instance 0 is the primary, the others hold
/// each log entry a replication lag after its commit.
class fake_group {
public:
  static constexpr std::size_t InstanceCount = 3;

  fake_group(event_queue &Events, const deployment &Deployment,
             base::duration Lag, std::uint64_t Seed);

  using started = std::function<void(const groups::instance_status &)>;

  /// Runs a request that arrives at an instance now; \p Started receives the
  /// status when it begins to run, \p Ended is called when it ends.
  void run(std::size_t Instance, started Started, event_queue::callback Ended);

  /// Appends a log entry on the primary now and returns its end.
  groups::log_position commit();

  [[nodiscard]] groups::instance_status status(std::size_t Instance) const;

  /// When the first replica holds \p Offset.
  [[nodiscard]] base::time_point
  firstReplicaAt(groups::log_offset Offset) const;

private:
  struct job {
    started Started;
    event_queue::callback Ended;
  };

  struct instance {
    std::size_t Running = 0;
    std::deque<job> Waiting;
    /// Time at which each log entry is held, by offset.
    std::vector<base::time_point> HeldAt;
  };

  void startNext(std::size_t Instance);

  event_queue &Events;
  std::size_t Slots;
  base::duration Lag;
  base::random_generator Random;
  std::vector<instance> Instances{InstanceCount};
};

} // namespace radishrelay::bench

#endif
