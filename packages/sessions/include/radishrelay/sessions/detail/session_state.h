#ifndef RADISHRELAY_SESSIONS_DETAIL_SESSION_STATE_H
#define RADISHRELAY_SESSIONS_DETAIL_SESSION_STATE_H

#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/client_answer.h"
#include "radishrelay/sessions/client_message.h"
#include "radishrelay/sessions/numbers.h"
#include "radishrelay/sessions/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace radishrelay::sessions::detail {

enum class operation_stage {
  /// Waits for a token of the account's limit.
  AwaitingToken,
  /// Waits for a proved primary or a free connection.
  AwaitingInstance,
  /// The connection is being opened.
  Opening,
  /// Session values and prepared statements are being set on the connection.
  Preparing,
  /// The transaction is being opened on the instance.
  Beginning,
  /// The statement runs.
  Running,
};

/// A statement that awaits its answer.
struct operation {
  std::string Id;
  statement Statement;
  base::time_point ReceivedAt;
  operation_stage Stage = operation_stage::AwaitingInstance;
  bool IsWrite = false;
  /// Set when the statement starts a unit that counts against the limit.
  bool NeedsToken = false;
  std::size_t AwaitedReplies = 0;
  std::set<base::instance_id> Avoid;
  std::uint32_t Attempts = 0;
  std::optional<refusal> LastRefusal;
  base::time_point SentAt;
  /// Next time at which the operation is looked at.
  base::time_point WakeAt = base::time_point::max();
  /// Not sent before, after an instance was busy.
  base::time_point NotBefore;
};

/// A statement that a client prepared.
struct prepared_shape {
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
  /// The connection that it runs on, once it has one.
  std::optional<backend_number> Connection;
  bool HasBegun = false;
  bool HasRun = false;
  bool HasWritten = false;
  /// Set when the transaction was ended by this host before its client knows.
  std::string EndedBecause;
};

/// One client's session.
struct session_state {
  session_number Number;
  std::string Database;
  std::string Key;
  bool IsStarted = false;
  base::account_id Account;
  /// Route of the current transaction or statement.
  session_route Route;
  std::map<std::string, std::string> Values;
  std::map<std::string, prepared_shape> Prepared;
  session_phase Phase = session_phase::Idle;
  transaction_state Transaction;
  std::optional<operation> Current;
  /// Statements received before the current one was answered.
  std::deque<run_statement> Following;
  /// Last commit of the session and the group that holds it.
  base::group_id CommitGroup;
  std::optional<groups::log_position> LastCommit;
};

} // namespace radishrelay::sessions::detail

#endif
