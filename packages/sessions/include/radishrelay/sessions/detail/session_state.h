#ifndef RADISHRELAY_SESSIONS_DETAIL_SESSION_STATE_H
#define RADISHRELAY_SESSIONS_DETAIL_SESSION_STATE_H

#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/client_answer.h"
#include "radishrelay/sessions/client_message.h"
#include "radishrelay/sessions/detail/cold_limit.h"
#include "radishrelay/sessions/numbers.h"
#include "radishrelay/sessions/refusal.h"
#include "radishrelay/sessions/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace radishrelay::sessions::detail {

/// Progress of an operation.
enum class operation_stage {
  /// Waits for a token of the account's rate limit.
  AwaitingToken,
  /// Waits for a free connection, or for a primary that is proved to hold its
  /// role.
  AwaitingInstance,
  /// The connection is being opened.
  Opening,
  /// Session values and prepared statements are being set on the connection.
  Preparing,
  /// The transaction is being opened on the instance.
  Beginning,
  /// Waits, with a connection, for a permit of the cold instance.
  AwaitingPermit,
  /// The statement has been sent to the instance.
  Running,
  /// The instance has acknowledged a commit. Waits for a proof that it was the
  /// primary then.
  AwaitingProof,
};

/// A commit that an instance has acknowledged.
struct acknowledged_commit {
  base::instance_id Instance;
  backend_reply Reply;
  base::time_point AcknowledgedAt;

  friend bool operator==(const acknowledged_commit &,
                         const acknowledged_commit &) = default;
};

/// A client's statement that has not been answered yet.
struct operation {
  std::string Id;
  statement Statement;
  base::time_point ReceivedAt;
  operation_stage Stage = operation_stage::AwaitingInstance;
  bool IsWrite = false;
  /// Whether the statement must still take a token of the account's rate limit.
  /// A transaction takes one token, when it begins.
  bool NeedsToken = false;
  /// Preparing: number of requests that the instance has not answered.
  std::size_t AwaitedReplies = 0;
  /// Instances on which the operation failed. A read that may run on a replica
  /// is not sent to them again.
  std::set<base::instance_id> ExcludedInstances;
  /// Number of connections that the operation has been assigned.
  std::uint32_t Attempts = 0;
  /// Error of the last attempt, if it guarantees that nothing was applied. It
  /// is returned to the client if no further attempt can be made in time.
  std::optional<refusal> LastRefusal;
  base::time_point SentAt;
  /// When the operation is next checked for progress or a timeout.
  base::time_point WakeAt = base::time_point::max();
  /// Earliest time of the next attempt, after an instance was busy.
  base::time_point NotBefore;
  /// Permit taken for a statement to a cold instance.
  std::optional<cold_permit> Permit;
  /// Set in the stage AwaitingProof.
  std::optional<acknowledged_commit> Commit;
};

/// A statement that a client prepared.
struct prepared_shape {
  /// Text of the statement without its arguments, as the client sent it.
  std::string Shape;
  bool Writes = false;

  friend bool operator==(const prepared_shape &,
                         const prepared_shape &) = default;
};

/// The transaction of a session.
struct transaction_state {
  bool IsReadOnly = false;
  base::time_point StartedAt;
  base::time_point LastUsedAt;
  /// Connection on which the transaction runs. Assigned with its first
  /// statement.
  std::optional<backend_number> Connection;
  /// Whether the instance has opened the transaction.
  bool HasBegun = false;
  /// Whether a statement of the transaction has succeeded.
  bool HasRun = false;
  bool HasWritten = false;
  /// Why the transaction ended without a request of its client. Empty while it
  /// is open. The client is told with its next statement.
  std::string EndReason;
  /// Error that the client gets with EndReason.
  refusal EndRefusal = refusal::Aborted;
};

/// One client's session.
struct session_state {
  session_number Number;
  std::string Database;
  std::string Key;
  /// Whether the session has been accepted.
  bool IsStarted = false;
  base::account_id Account;
  /// Route of the current transaction or statement. A transaction keeps the
  /// route with which it began.
  session_route Route;
  /// Regions on whose instances alone the statements may run, by route and
  /// account; without a value all may.
  std::optional<std::set<base::region_id>> Homes;
  std::map<std::string, std::string> Values;
  /// Prepared statements by the name that the client gave them.
  std::map<std::string, prepared_shape> Prepared;
  session_phase Phase = session_phase::Idle;
  transaction_state Transaction;
  std::optional<operation> Current;
  /// Statements that the client sent before the current one was answered.
  std::deque<run_statement> PipelinedStatements;
  /// Group and log position of the session's last commit, for
  /// read_consistency::ReadYourWrites.
  base::group_id CommitGroup;
  std::optional<groups::log_position> LastCommit;
};

} // namespace radishrelay::sessions::detail

#endif
