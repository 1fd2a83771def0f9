#ifndef RADISHRELAY_DAEMON_GROUP_RUNTIME_H
#define RADISHRELAY_DAEMON_GROUP_RUNTIME_H

#include "radishrelay/daemon/group_outputs.h"
#include "radishrelay/daemon/instance_link.h"
#include "radishrelay/daemon/result_body.h"
#include "radishrelay/daemon/transaction_events.h"
#include "radishrelay/fleet/database_group.h"
#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/concurrency_limit.h"
#include "radishrelay/groups/fair_queue.h"
#include "radishrelay/groups/group_failover.h"
#include "radishrelay/groups/read_router.h"
#include "radishrelay/groups/write_tracker.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace radishrelay::daemon {

/// Identity and quota of a group_runtime on this host.
struct group_runtime_options {
  fleet::database_group Group;
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  std::string Incarnation;
  /// Maximum number of connections of this host to each instance, the control
  /// connection included.
  std::uint32_t Quota = 2;
  /// Number of the group_runtime, unique in this process. It is part of each
  /// connection number, so that backend events reach the right group.
  std::uint64_t Serial = 0;
  std::uint64_t Seed = 1;
};

/// Runs the requests of one database group. Executes the decisions on reads,
/// writes, queues, connections and failover by commands to the backend thread,
/// and passes its events back to them. Used by the decision thread only.
class group_runtime {
public:
  group_runtime(const group_runtime_options &Options, group_outputs &Outputs);

  /// Sets the receiver of transaction events. Without one, requests to open a
  /// transaction are refused at their deadline.
  void useTransactions(transaction_events &Events) { Transactions = &Events; }

  /// Takes an admitted request whose session is decoded.
  void submit(const request_task_ptr &Task, base::time_point Now);

  /// The caller has disconnected. A request of which nothing was sent to an
  /// instance is refused; any other runs to its end.
  void cancel(request_task &Task, base::time_point Now);

  /// Runs statements of \p Task on a connection that a transaction holds.
  /// transaction_events::onHeldRunFinished() takes the result.
  void runOnHeldConnection(const request_task_ptr &Task,
                           groups::connection_number Connection,
                           const std::vector<groups::sql_statement> &Statements,
                           base::time_point Now);
  /// Returns a connection that a transaction held to the pool. \p End is the
  /// state in which the transaction leaves it.
  void releaseHeldConnection(groups::connection_number Connection,
                             groups::connection_release_state End,
                             base::time_point Now);
  /// Ends \p Task successfully once a majority holds the commit at \p Position,
  /// or with an unknown outcome if that is not confirmed by its deadline or the
  /// primary is replaced.
  void acknowledgeCommit(const request_task_ptr &Task,
                         const groups::log_position &Position,
                         base::time_point Now);

  void onBackend(const backend::backend_event &Event, base::time_point Now);
  void onStore(const groups::store_call_answer &Answer, base::time_point Now);
  void onVote(const groups::promotion_vote &Vote, base::time_point Now);
  /// Takes the failure domains that this host can reach.
  void onReachable(const groups::reachable_domains &Domains,
                   base::time_point Now);
  /// Says whether the instance's backend server is about to be shut down. A
  /// leaving instance gets no work unless it is the primary.
  void setLeaving(const base::instance_id &Instance, bool Leaving,
                  base::time_point Now);
  /// Sets the maximum number of connections to each instance.
  void setQuota(std::uint32_t Quota, base::time_point Now);

  /// Executes what has become due.
  void tick(base::time_point Now);
  /// When tick() is due next.
  [[nodiscard]] base::time_point nextWake() const;

  [[nodiscard]] std::size_t taskCount() const { return Tasks.size(); }
  /// Number of connections to all instances, including those that are closing.
  [[nodiscard]] std::size_t connectionCount() const;
  [[nodiscard]] std::uint64_t serial() const { return Options.Serial; }
  [[nodiscard]] const groups::group_view &view() const {
    return Failover.view();
  }
  [[nodiscard]] base::json dump() const;

  /// Returns the serial of the group_runtime to which a connection belongs.
  static std::uint64_t serialOf(groups::connection_number Connection);

private:
  /// What this host keeps for one instance: its connections, queue and limits.
  struct instance_state {
    instance_state(instance_link_options Link, group_outputs &Outputs);

    instance_link Link;
    groups::fair_queue Queue;
    groups::concurrency_limit Limit;
    std::size_t Running = 0;
    base::duration MeanService;
    bool Leaving = false;
  };

  // Reads.
  void decideRead(const request_task_ptr &Task, base::time_point Now);
  void finishRead(const request_task_ptr &Task,
                  const backend::run_finished &Event, base::time_point Now);
  void checkRead(const request_task_ptr &Task, bool IsConfirmed,
                 base::time_point Now);
  void retryRead(const request_task_ptr &Task, const groups::attempt_end &End,
                 const backend::run_finished &Event, base::time_point Now);

  // Writes.
  void startWrite(const request_task_ptr &Task, base::time_point Now);
  void finishWrite(const request_task_ptr &Task,
                   const backend::run_finished &Event, base::time_point Now);
  void finishUnkeyedWrite(const request_task_ptr &Task,
                          const backend::run_finished &Event,
                          base::time_point Now);
  void failUnkeyedWrite(const request_task_ptr &Task,
                        const backend::run_finished &Event,
                        base::time_point Now);
  void finishKeyedRun(const request_task_ptr &Task,
                      const backend::run_finished &Event, base::time_point Now);
  void applyKeyedAction(const request_task_ptr &Task,
                        const groups::keyed_write_action &Action,
                        const backend::run_finished &Event,
                        base::time_point Now);
  void failKeyedWrite(const request_task_ptr &Task,
                      const groups::fail_request &Failure,
                      const backend::run_finished &Event, base::time_point Now);
  void awaitMajority(const request_task_ptr &Task,
                     const groups::log_position &Position,
                     base::time_point Now);

  void finishOpen(const request_task_ptr &Task,
                  const backend::run_finished &Event, base::time_point Now);

  // Queues and runs.
  void enqueue(const request_task_ptr &Task, std::size_t Instance,
               base::time_point Now);
  void startQueued(std::size_t Instance, base::time_point Now);
  void run(const request_task_ptr &Task,
           std::vector<backend::statement> Statements, base::time_point Now);
  void onRunFinished(const backend::run_finished &Event, base::time_point Now);
  void endRun(const request_task_ptr &Task, const backend::run_finished &Event,
              base::time_point Now);
  void recordRunEnd(const request_task &Task,
                    const backend::run_finished &Event, base::time_point Now);
  void releaseConnection(request_task &Task, const backend::run_finished &Event,
                         base::time_point Now);
  void waitForInstance(const request_task_ptr &Task, base::time_point Until);
  void wakeWaiting(base::time_point Now);
  void updateLeaving(base::time_point Now);
  void moveWritesFrom(std::size_t Instance, base::time_point Now);

  // Calls to instances, their answers, and the actions of failover and write
  // acknowledgement.
  void deliverAnswers(base::time_point Now);
  void handleAnswer(const link_answer &Ended, base::time_point Now);
  void call(const groups::instance_call &Call, call_requester Requester,
            base::time_point Now);
  void observeStatus(std::size_t Instance,
                     const groups::status_evidence &Evidence,
                     base::time_point Now);
  void apply(const groups::failover_actions &Actions, base::time_point Now);
  void apply(const std::vector<groups::write_action> &Actions,
             base::time_point Now);
  void on(const groups::instance_call &Call, base::time_point Now);
  void on(const groups::store_call &Call, base::time_point Now);
  void on(const groups::promotion_vote &Vote, base::time_point Now);
  void on(const groups::group_view &View, base::time_point Now);
  void on(const groups::acknowledge_write &Action, base::time_point Now);
  void on(const groups::report_unknown &Action, base::time_point Now);

  // Answers to callers.
  void succeed(request_task &Task, std::optional<base::time_point> ValidUntil);
  void refuse(request_task &Task, const problem &Problem);
  void end(request_task &Task, http_answer &&Answer);

  [[nodiscard]] std::optional<std::size_t>
  indexOf(const base::instance_id &Instance) const;
  [[nodiscard]] std::optional<std::size_t> primary() const;
  [[nodiscard]] std::size_t instanceOf(groups::connection_number) const;
  [[nodiscard]] request_task_ptr findTask(task_id Id) const;
  [[nodiscard]] std::string servedBy(const request_task &Task) const;
  void updateLoads();

  group_runtime_options Options;
  group_outputs &Outputs;
  transaction_events *Transactions = nullptr;
  std::vector<std::unique_ptr<instance_state>> Instances;
  groups::read_router Router;
  std::shared_ptr<const groups::acknowledgement_strategy> Strategy;
  groups::group_failover Failover;
  groups::write_tracker Tracker;
  std::map<task_id, request_task_ptr> Tasks;
  std::map<backend::run_id, request_task_ptr> Runs;
  /// Tasks in the stage WaitingForInstance, in order of arrival.
  std::map<task_id, request_task_ptr> Waiting;
  std::optional<std::size_t> KnownPrimary;
  bool IsDelivering = false;
};

} // namespace radishrelay::daemon

#endif
