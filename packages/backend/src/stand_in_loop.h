#ifndef RADISHRELAY_BACKEND_SRC_STAND_IN_LOOP_H
#define RADISHRELAY_BACKEND_SRC_STAND_IN_LOOP_H

#include "radishrelay/backend/stand_in_group.h"
#include "stand_in_instance.h"

#include <future>
#include <list>
#include <mutex>
#include <vector>

namespace radishrelay::backend::detail {

/// The thread function of a group: instances, replication between them, and
/// calls from other threads.
class stand_in_loop {
public:
  explicit stand_in_loop(const stand_in_options &Options);

  /// Serves until stop().
  void run();
  void stop();

  [[nodiscard]] std::size_t size() const { return Instances.size(); }
  stand_in_instance &instance(std::size_t Index) {
    return *Instances.at(Index);
  }
  [[nodiscard]] std::vector<stand_in_report> reports() const;

  using task = std::function<void()>;
  /// Runs \p Task on the loop's thread. Safe to call from any thread.
  void post(task Task);
  /// As stand_in_group::waitUntil. Safe to call from any other thread.
  bool waitUntil(stand_in_group::report_predicate Predicate,
                 base::time_point Deadline);

private:
  struct waiter {
    stand_in_group::report_predicate Predicate;
    base::time_point Deadline;
    std::promise<bool> Answer;
  };

  void load(const std::vector<statement> &Schema);
  void runTasks();
  void replicate(base::time_point Now);
  [[nodiscard]] const stand_in_instance *
  primaryFor(const stand_in_instance &Follower) const;
  void answerWaiters(base::time_point Now);
  [[nodiscard]] std::optional<base::time_point> wakeAt() const;

  poller Poller;
  std::vector<std::unique_ptr<stand_in_instance>> Instances;
  std::list<waiter> Waiters;
  std::optional<base::time_point> NextReplication;
  std::mutex Mutex;
  std::vector<task> Tasks;
  std::atomic<bool> IsStopped = false;
};

} // namespace radishrelay::backend::detail

#endif
