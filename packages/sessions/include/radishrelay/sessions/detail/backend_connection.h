#ifndef RADISHRELAY_SESSIONS_DETAIL_BACKEND_CONNECTION_H
#define RADISHRELAY_SESSIONS_DETAIL_BACKEND_CONNECTION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/detail/answer_check.h"
#include "radishrelay/sessions/numbers.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace radishrelay::sessions::detail {

/// What a pooled connection is used for at present.
enum class connection_use {
  Opening,
  Idle,
  /// Serves a session.
  Session,
  /// Serves a control call: a request that the proxy makes itself, such as
  /// Status or Fence.
  Control,
  /// Rolls back the transaction of a session that no longer uses the
  /// connection, then becomes idle.
  RollingBack,
};

/// One pooled connection to an instance, authenticated as one account.
struct backend_connection {
  backend_number Number;
  base::group_id Group;
  base::instance_id Instance;
  base::account_id Account;
  connection_use Use = connection_use::Opening;
  /// Session that uses the connection, or for which it is being opened.
  std::optional<session_number> Session;
  /// Control call to send once the connection is open.
  std::optional<backend_request> PendingCall;
  /// Session values that are set on the connection.
  std::map<std::string, std::string> Values;
  /// Names of the statements prepared on the connection. The key is R for a
  /// read or W for a write, followed by the shape.
  std::map<std::string, std::string> Prepared;
  /// Number in the name of the statement prepared last.
  std::uint64_t LastPreparedName = 0;
  /// Requests without an answer, in the order in which they were sent.
  std::deque<sent_request> Outstanding;
  answer_check Answers;
  base::time_point IdleSince;
  /// Whether the connection last served a control call. Such calls are likely
  /// to recur, so the connection is kept longer.
  bool LastUseWasControl = false;
  /// When opening, a control call or a rollback counts as failed.
  base::time_point Deadline = base::time_point::max();
};

} // namespace radishrelay::sessions::detail

#endif
