#ifndef RADISHRELAY_DAEMON_INSTANCE_LINK_H
#define RADISHRELAY_DAEMON_INSTANCE_LINK_H

#include "radishrelay/backend/backend_event.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/daemon/group_outputs.h"
#include "radishrelay/daemon/link_answer.h"
#include "radishrelay/groups/connection_pool.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::daemon {

/// Address of an instance and options of its connection pool.
struct instance_link_options {
  base::instance_id Instance;
  /// "IP:PORT".
  std::string Address;
  std::string Database;
  groups::connection_pool_options Pool;
};

/// Connections of this host to one instance. Executes the actions of the
/// connection pool, and runs status, raise and promote calls on the control
/// connection.
class instance_link {
public:
  instance_link(instance_link_options Options, group_outputs &Outputs);

  /// Runs the call as soon as the control connection is ready; it fails if it
  /// has not started by its deadline. Status calls that wait at the same time
  /// share one run.
  void call(const link_call &Call, base::time_point Now);

  /// Takes an idle work connection from the pool; returns nothing when there is
  /// none.
  std::optional<groups::connection_number> acquire() { return Pool.acquire(); }

  /// Tells the pool how many requests wait for a connection.
  void setDemand(std::size_t Waiting, base::time_point Now);
  /// Returns a connection to the pool. \p End is the state in which the last
  /// run left it.
  void release(groups::connection_number Connection,
               groups::connection_release_state End, base::time_point Now);
  void setLeaving(bool Leaving, base::time_point Now);
  void setQuota(std::uint32_t Quota, base::time_point Now);

  void onOpened(groups::connection_number Connection, base::time_point Now);
  void onClosed(groups::connection_number Connection, base::time_point Now);
  /// Returns false when this link did not start the run.
  bool onRunFinished(const backend::run_finished &Event, base::time_point Now);

  void tick(base::time_point Now);

  /// Returns the calls that have ended since the previous takeAnswers().
  std::vector<link_answer> takeAnswers();

  [[nodiscard]] std::optional<base::time_point> nextWake() const;
  [[nodiscard]] const instance_link_options &options() const { return Options; }
  [[nodiscard]] std::size_t connectionCount() const { return Pool.size(); }
  [[nodiscard]] base::json dump() const;

private:
  /// Calls that one run on the control connection answers.
  using call_batch = std::vector<link_call>;

  /// A reset of a connection: one statement runs, those in Remaining follow.
  struct reset_run {
    groups::connection_number Connection = 0;
    std::vector<groups::sql_statement> Remaining;
    base::time_point Deadline;
  };

  void apply(const groups::pool_actions &Actions, base::time_point Now);
  void on(const groups::open_pooled_connection &Action, base::time_point Now);
  void on(const groups::reset_pooled_connection &Action, base::time_point Now);
  void on(const groups::close_pooled_connection &Action, base::time_point Now);
  void startReset(reset_run Reset, base::time_point Now);
  void finishReset(reset_run Reset, const backend::run_finished &Event,
                   base::time_point Now);
  void startCalls(base::time_point Now);
  call_batch nextBatch();
  void finishCalls(const call_batch &Calls, const backend::run_finished &Event);
  void expireCalls(base::time_point Now);
  bool submitRun(groups::connection_number Connection, backend::run_id Run,
                 std::vector<backend::statement> Statements,
                 base::time_point Deadline);

  instance_link_options Options;
  group_outputs &Outputs;
  groups::connection_pool Pool;
  std::deque<link_call> WaitingCalls;
  std::map<backend::run_id, call_batch> CallRuns;
  std::map<backend::run_id, reset_run> ResetRuns;
  std::vector<link_answer> Answers;
};

/// Converts an SQL statement to the backend thread's type.
backend::statement toBackend(const groups::sql_statement &Statement);

} // namespace radishrelay::daemon

#endif
