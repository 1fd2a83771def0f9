#ifndef RADISHRELAY_SESSIONS_DETAIL_BACKEND_CONNECTION_H
#define RADISHRELAY_SESSIONS_DETAIL_BACKEND_CONNECTION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/backend_request.h"
#include "radishrelay/sessions/numbers.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace radishrelay::sessions::detail {

enum class connection_use {
  Opening,
  Idle,
  /// Serves a session.
  Session,
  /// Serves a call of the proxy itself.
  Control,
  /// Ends the transaction of a session that is gone, then becomes idle.
  Cleaning,
};

/// A request that awaits its answer.
struct sent_request {
  backend_verb Verb;
  base::time_point SentAt;
};

/// One connection to an instance, opened for one account.
struct backend_connection {
  backend_number Number;
  base::group_id Group;
  base::instance_id Instance;
  base::account_id Account;
  connection_use Use = connection_use::Opening;
  /// Session that uses the connection, or will once it is open.
  std::optional<session_number> Session;
  /// Call that waits until the connection is open.
  std::optional<backend_request> FirstCall;
  /// Session values in force on the connection.
  std::map<std::string, std::string> Values;
  /// Name of each prepared shape; the key begins with R or W.
  std::map<std::string, std::string> Prepared;
  std::uint64_t LastPreparedName = 0;
  std::deque<sent_request> Outstanding;
  base::time_point IdleSince;
  /// Its last use was a call of the proxy itself, which is likely to recur.
  bool WasControl = false;
  /// End of an opening, a call or a cleaning.
  base::time_point Deadline = base::time_point::max();
};

} // namespace radishrelay::sessions::detail

#endif
