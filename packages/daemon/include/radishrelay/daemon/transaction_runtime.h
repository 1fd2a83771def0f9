#ifndef RADISHRELAY_DAEMON_TRANSACTION_RUNTIME_H
#define RADISHRELAY_DAEMON_TRANSACTION_RUNTIME_H

#include "radishrelay/daemon/problem.h"
#include "radishrelay/daemon/transaction_events.h"
#include "radishrelay/daemon/transaction_outputs.h"
#include "radishrelay/groups/transaction_table.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace radishrelay::daemon {

/// Runs the requests in the transactions that this host holds, and forwards
/// requests in transactions of other hosts. Used by the decision thread only.
///
/// A transaction holds one work connection to its group's primary. It ends at
/// the deadline of the request that opened it.
class transaction_runtime : public transaction_events {
public:
  transaction_runtime(const base::host_id &Host, const std::string &Incarnation,
                      transaction_outputs &Outputs,
                      groups::transaction_limits Limits = {});

  /// Takes a request that carries a transaction handle.
  void submit(const request_task_ptr &Task, base::time_point Now);

  void onTransactionBegun(group_runtime &Group, const request_task_ptr &Task,
                          groups::connection_number Connection,
                          base::time_point Now) override;
  void onHeldRunFinished(const request_task_ptr &Task,
                         const backend::run_finished &Event,
                         base::time_point Now) override;
  void onConnectionClosed(groups::connection_number Connection,
                          base::time_point Now) override;

  /// Ends the transactions whose deadline has passed.
  void tick(base::time_point Now);
  /// When tick() is due next.
  [[nodiscard]] base::time_point nextWake() const;

  [[nodiscard]] std::size_t openCount() const { return Table.openCount(); }
  [[nodiscard]] base::json dump() const { return Table.dump(); }

private:
  /// An open transaction and the connection that it holds.
  struct held_connection {
    base::account_id Account;
    base::group_id Group;
    groups::connection_number Connection = 0;
    /// The request that runs on the connection, or null.
    request_task_ptr Current;
  };

  /// A transaction whose group is remembered until KeptUntil.
  struct ended_transaction {
    std::uint64_t Number = 0;
    base::time_point KeptUntil;
  };

  void runInTransaction(const groups::transaction_id &Id,
                        const request_task_ptr &Task, base::time_point Now);
  groups::transaction_reply begin(const groups::transaction_id &Id,
                                  const request_task &Task,
                                  base::time_point Now);
  [[nodiscard]] std::optional<problem>
  findMisuse(const groups::transaction_id &Id, const request_task &Task) const;
  void startRun(std::uint64_t Number, const request_task_ptr &Task,
                base::time_point Now);
  void applyEnd(std::uint64_t Number, const groups::transaction_end &End,
                const request_task_ptr &Task,
                const backend::run_finished *Event, base::time_point Now);
  void reply(const request_task_ptr &Task, const base::group_id &Group,
             const groups::transaction_reply &Reply,
             const backend::run_finished *Event, base::time_point Now);
  void acknowledge(const request_task_ptr &Task, const base::group_id &Group,
                   const groups::log_position &Position, base::time_point Now);
  void refuse(request_task &Task, const problem &Problem);
  void refuse(request_task &Task, const groups::transaction_refusal &Refusal,
              const backend::run_finished *Event);
  void dropExpiredGroups(base::time_point Now);

  base::host_id Host;
  groups::transaction_limits Limits;
  groups::transaction_table Table;
  transaction_outputs &Outputs;
  std::map<std::uint64_t, held_connection> HeldConnections;
  /// Groups of open transactions, and of ended ones whose commit may be
  /// repeated by the caller.
  std::map<std::uint64_t, base::group_id> GroupsByNumber;
  std::deque<ended_transaction> EndOrder;
};

} // namespace radishrelay::daemon

#endif
