#ifndef RADISHRELAY_GROUPS_TRANSACTION_TABLE_H
#define RADISHRELAY_GROUPS_TRANSACTION_TABLE_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/transaction_end.h"
#include "radishrelay/groups/transaction_id.h"
#include "radishrelay/groups/transaction_limits.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace radishrelay::groups {

/// The open transactions of this host, each on its own backend connection.
///
/// A transaction belongs to one client account; requests of other accounts are
/// answered as if it did not exist. It runs one request at a time.
class transaction_table {
public:
  transaction_table(base::host_id Host, std::uint64_t Incarnation,
                    transaction_limits Limits = {});

  /// Records a transaction that was begun on \p Connection. Empty when MaxOpen
  /// transactions are open.
  std::optional<transaction_id> open(const base::account_id &Account,
                                     const base::group_id &Group,
                                     connection_number Connection,
                                     base::time_point Deadline);

  transaction_reply beginStatement(const transaction_id &Id,
                                   const base::account_id &Account,
                                   base::time_point Now);
  /// Starts a commit. Once use_connection is returned, the commit counts as
  /// sent.
  transaction_reply beginCommit(const transaction_id &Id,
                                const base::account_id &Account,
                                base::time_point Now);
  transaction_reply beginRollback(const transaction_id &Id,
                                  const base::account_id &Account,
                                  base::time_point Now);

  /// Reports the end of the running request of transaction \p Number. A commit
  /// runs COMMIT and group_status() in one pipeline; \p Position is the log
  /// position from that status.
  transaction_end requestEnded(std::uint64_t Number, const attempt_end &End,
                               const log_position &Position,
                               base::time_point Now);

  /// Ends the transaction whose connection was lost or stopped answering. Empty
  /// when no open transaction uses \p Connection.
  std::optional<transaction_end> connectionLost(connection_number Connection,
                                                base::time_point Now);

  /// Ends the transactions whose deadline has passed, with a reply to each
  /// request that is running in one. Also discards expired outcomes.
  std::vector<transaction_end> expire(base::time_point Now);

  [[nodiscard]] std::optional<base::time_point> nextDeadline() const;
  [[nodiscard]] std::size_t openCount() const { return Open.size(); }
  [[nodiscard]] base::json dump() const;

private:
  enum class state { Idle, Running, Committing, RollingBack };
  enum class outcome { Committed, RolledBack, Unknown };

  struct open_transaction {
    base::account_id Account;
    base::group_id Group;
    connection_number Connection = 0;
    base::time_point Deadline;
    state State = state::Idle;
    /// A statement has failed. COMMIT would then roll back and still report
    /// success.
    bool HasFailed = false;
  };

  struct ended_transaction {
    base::account_id Account;
    outcome Outcome = outcome::Unknown;
    log_position Position;
    base::time_point ExpiresAt;
  };

  transaction_end succeeded(std::uint64_t Number, state PreviousState,
                            const log_position &Position, base::time_point Now);
  transaction_reply begin(const transaction_id &Id,
                          const base::account_id &Account, state Next,
                          base::time_point Now);
  [[nodiscard]] transaction_reply replyForEnded(const transaction_id &Id,
                                                const base::account_id &Account,
                                                state Next) const;
  transaction_end endAbnormally(std::uint64_t Number, base::time_point Now);
  transaction_end finish(std::uint64_t Number, outcome Outcome,
                         connection_release_state End, base::time_point Now);
  void purgeOutcomes(base::time_point Now);

  base::host_id Host;
  std::uint64_t Incarnation;
  transaction_limits Limits;
  std::uint64_t NextNumber = 1;
  std::map<std::uint64_t, open_transaction> Open;
  std::map<std::uint64_t, ended_transaction> Ended;
  /// Numbers of the ended transactions, in the order in which they ended.
  std::deque<std::uint64_t> EndOrder;
};

} // namespace radishrelay::groups

#endif
