#ifndef RADISHRELAY_GROUPS_TESTS_MESSAGE_QUEUE_H
#define RADISHRELAY_GROUPS_TESTS_MESSAGE_QUEUE_H

#include "sim_node.h"

#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/stored_term_majority_strategy.h"
#include "radishrelay/groups/write_tracker.h"

#include "radishrelay/base/random_generator.h"

#include <array>
#include <functional>
#include <queue>

namespace radishrelay::groups::testing {

/// Message delays and losses, write load and timing of a simulation.
struct simulation_options {
  std::uint64_t Seed = 1;
  std::shared_ptr<const acknowledgement_strategy> Strategy =
      std::make_shared<stored_term_majority_strategy>();
  base::duration MinDelay = std::chrono::milliseconds(1);
  base::duration MaxDelay = std::chrono::milliseconds(1);
  /// Time between a commit and the sending of its log entry to the replicas.
  base::duration ReplicationLag = std::chrono::milliseconds(5);
  /// Time between two writes that start at the same host.
  base::duration WriteInterval = std::chrono::milliseconds(10);
  base::duration WriteTimeout = std::chrono::seconds(1);
  base::duration MinCallInterval = write_tracker_options{}.MinCallInterval;
  /// Failover timing of the hosts; the simulation sets the group, instances and
  /// identity.
  failover_options Timing;
  double DropProbability = 0;
  double RepeatProbability = 0;
  /// Probability of a delay of up to a second.
  double SlowProbability = 0;
};

/// Event queue of the simulation: delivers the messages between all nodes in
/// virtual time.
class message_queue {
public:
  static constexpr std::size_t Domains = 3;

  explicit message_queue(const simulation_options &Options)
      : Options(Options), Random(Options.Seed) {}

  /// Advances the time to the next event and runs it.
  void step() {
    queued_event Event = Queue.top();
    Queue.pop();
    Now = Event.At;
    Event.Run();
  }

  void runUntil(base::time_point End) {
    while (Queue.top().At <= End)
      step();
  }

  void after(base::duration Delay, std::function<void()> Run) {
    Queue.push({Now + Delay, ++Order, std::move(Run)});
  }

  /// Cuts or restores the links between a failure domain and all other domains
  /// and the table service.
  void isolate(std::size_t Domain, bool IsCutOff) {
    for (std::size_t Other = 0; Other <= Domains; ++Other)
      if (Other != Domain)
        IsLinkDown[Domain][Other] = IsLinkDown[Other][Domain] = IsCutOff;
  }

  simulation_options Options;
  base::random_generator Random;
  base::time_point Now = base::fromMicroseconds(100'000'000);
  /// True for links that are down, by the domains of sender and receiver. The
  /// table service has the index after the last failure domain.
  std::array<std::array<bool, Domains + 1>, Domains + 1> IsLinkDown{};

protected:
  /// Sends a message from \p From to \p To; \p Run handles it. The message may
  /// be dropped, delayed, repeated or reordered.
  void post(const sim_node &From, sim_node &To,
            const std::function<void()> &Run) {
    if (IsLinkDown[From.Domain][To.Domain] ||
        Random.chance(Options.DropProbability))
      return;
    base::duration Range = Options.MaxDelay - Options.MinDelay;
    if (Random.chance(Options.SlowProbability))
      Range = std::chrono::seconds(1);
    auto Bound = static_cast<std::uint64_t>(Range.count()) + 1;
    int Copies = Random.chance(Options.RepeatProbability) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      after(Options.MinDelay + base::duration(Random.below(Bound)),
            [this, &To, Run, I = To.Incarnation] { deliver(To, I, Run); });
  }

  /// Runs a message at \p To, after the end of a pause if the node is paused.
  /// Drops it if the node is down or has restarted.
  void deliver(sim_node &To, std::uint64_t Incarnation,
               const std::function<void()> &Run) {
    if (!To.IsAlive || To.Incarnation != Incarnation)
      return;
    if (Now >= To.PausedUntil)
      Run();
    else
      after(To.PausedUntil - Now,
            [this, &To, Incarnation, Run] { deliver(To, Incarnation, Run); });
  }

private:
  struct queued_event {
    base::time_point At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const queued_event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  std::priority_queue<queued_event> Queue;
  std::uint64_t Order = 0;
};

} // namespace radishrelay::groups::testing

#endif
