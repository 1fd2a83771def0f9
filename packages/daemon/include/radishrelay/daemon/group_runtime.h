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

/// Identity of a group_runtime on this host.
struct group_runtime_options {
  fleet::database_group Group;
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  std::string Incarnation;
  /// Connections of this host to each instance.
  std::uint32_t Quota = 2;
  /// Distinguishes the connections of the groups of a process.
  std::uint64_t Serial = 0;
  std::uint64_t Seed = 1;
};

/// Runs the requests of one database group: joins the decisions on reads,
/// writes, queues, connections and failover to the backend thread. Used by the
/// decision thread only.
class group_runtime {
public:
  group_runtime(const group_runtime_options &Options, group_outputs &Outputs);

  /// Without it, requests to open a transaction end at their deadline.
  void useTransactions(transaction_events &Events) { Transactions = &Events; }

  /// Takes an admitted request whose session is decoded.
  void submit(const request_task_ptr &Task, base::time_point Now);

  /// The caller is gone: a request that has not been sent will not be.
  void cancel(request_task &Task, base::time_point Now);

  /// Runs statements of \p Task on a connection that a transaction holds;
  /// answered by transaction_events::onHeldRun().
  void runHeld(const request_task_ptr &Task,
               groups::connection_number Connection,
               const std::vector<groups::sql_statement> &Statements,
               base::time_point Now);
  void releaseHeld(groups::connection_number Connection,
                   groups::connection_release_state End, base::time_point Now);
  /// Ends \p Task once the commit at \p Position is acknowledged.
  void acknowledgeCommit(const request_task_ptr &Task,
                         const groups::log_position &Position,
                         base::time_point Now);

  void onBackend(const backend::backend_event &Event, base::time_point Now);
  void onStore(const groups::store_call_answer &Answer, base::time_point Now);
  void onSuspicion(const groups::promotion_vote &Suspicion,
                   base::time_point Now);
  void onReachable(const groups::reachable_domains &Domains,
                   base::time_point Now);
  void setLeaving(const base::instance_id &Instance, bool Leaving,
                  base::time_point Now);
  void setQuota(std::uint32_t Quota, base::time_point Now);

  void tick(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;

  [[nodiscard]] std::size_t taskCount() const { return Tasks.size(); }
  /// Connections to all instances, also those that are closing.
  [[nodiscard]] std::size_t connectionCount() const;
  [[nodiscard]] std::uint64_t serial() const { return Options.Serial; }
  [[nodiscard]] const groups::group_view &view() const {
    return Failover.view();
  }
  [[nodiscard]] base::json dump() const;

  /// Serial of the group to which a connection belongs.
  static std::uint64_t serialOf(groups::connection_number Connection);

private:
  /// State of one instance on this host.
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
  void judgeRead(const request_task_ptr &Task, bool IsConfirmed,
                 base::time_point Now);
  void retryRead(const request_task_ptr &Task, const groups::attempt_end &End,
                 const backend::run_finished &Event, base::time_point Now);

  // Writes.
  void startWrite(const request_task_ptr &Task, base::time_point Now);
  void finishWrite(const request_task_ptr &Task,
                   const backend::run_finished &Event, base::time_point Now);
  void finishPlainWrite(const request_task_ptr &Task,
                        const backend::run_finished &Event,
                        base::time_point Now);
  void failPlainWrite(const request_task_ptr &Task,
                      const backend::run_finished &Event, base::time_point Now);
  void finishKeyedRun(const request_task_ptr &Task,
                      const backend::run_finished &Event, base::time_point Now);
  void applyKeyed(const request_task_ptr &Task,
                  const groups::keyed_write_action &Action,
                  const backend::run_finished &Event, base::time_point Now);
  void failKeyed(const request_task_ptr &Task,
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
  void pump(std::size_t Instance, base::time_point Now);
  void run(const request_task_ptr &Task,
           std::vector<backend::statement> Statements, base::time_point Now);
  void onRunFinished(const backend::run_finished &Event, base::time_point Now);
  void endRun(const request_task_ptr &Task, const backend::run_finished &Event,
              base::time_point Now);
  void noteRunEnd(const request_task &Task, const backend::run_finished &Event,
                  base::time_point Now);
  void releaseConnection(request_task &Task, const backend::run_finished &Event,
                         base::time_point Now);
  void waitForInstance(const request_task_ptr &Task, base::time_point Until);
  void wakeWaiting(base::time_point Now);
  void updateLeaving(base::time_point Now);
  void moveWritesFrom(std::size_t Instance, base::time_point Now);

  // Calls, evidence and decisions of failover and acknowledgement.
  void settle(base::time_point Now);
  void deliver(const link_answer &Ended, base::time_point Now);
  void call(const groups::instance_call &Call, call_user User,
            base::time_point Now);
  void observeStatus(std::size_t Instance,
                     const groups::status_evidence &Evidence,
                     base::time_point Now);
  void apply(const groups::failover_actions &Actions, base::time_point Now);
  void apply(const std::vector<groups::write_action> &Actions,
             base::time_point Now);
  void on(const groups::instance_call &Call, base::time_point Now);
  void on(const groups::store_call &Call, base::time_point Now);
  void on(const groups::promotion_vote &Suspicion, base::time_point Now);
  void on(const groups::group_view &View, base::time_point Now);
  void on(const groups::acknowledge_write &Action, base::time_point Now);
  void on(const groups::report_unknown &Action, base::time_point Now);

  // Ends of requests.
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
  /// Tasks in the stage WaitingForInstance, in the order of their arrival.
  std::map<task_id, request_task_ptr> Waiting;
  std::optional<std::size_t> KnownPrimary;
  bool Settling = false;
};

} // namespace radishrelay::daemon

#endif
