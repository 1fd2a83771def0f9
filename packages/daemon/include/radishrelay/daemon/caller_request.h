#ifndef RADISHRELAY_DAEMON_CALLER_REQUEST_H
#define RADISHRELAY_DAEMON_CALLER_REQUEST_H

#include "radishrelay/accounts/key_verifier.h"
#include "radishrelay/backend/statement.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/daemon/http_message.h"
#include "radishrelay/daemon/service_view.h"

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::daemon {

enum class caller_operation {
  RunRoute,
  OpenTransaction,
  CommitTransaction,
  RollbackTransaction,
};

/// A well-formed request of a caller, after the caller's key was verified. It
/// does not contain the key itself.
struct caller_request {
  caller_connection_id Connection = 0;
  caller_operation Operation = caller_operation::RunRoute;
  /// Configuration under which the key was verified; owns \c Route.
  service_view_ptr View;
  /// Set for RunRoute.
  const fleet::route *Route = nullptr;
  /// Empty for a request without a key on a route that allows anonymous access.
  std::optional<accounts::verified_key> Key;
  /// Set for OpenTransaction.
  base::group_id Group;
  std::vector<backend::sql_value> Parameters;
  /// Values of the headers Idempotency-Key, Radishrelay-Session and
  /// Radishrelay-Transaction, empty if absent. The transaction handle can also
  /// come from the path.
  std::string IdempotencyKey;
  std::string Session;
  std::string Transaction;
  /// SHA-256 of route name and body.
  std::string BodyDigest;
  /// True when another host received the request and forwarded it.
  bool IsForwarded = false;
  base::time_point ReceivedAt;
  base::time_point Deadline;

  /// Returns the client account, or an empty identifier if there is no key.
  [[nodiscard]] base::account_id account() const {
    return Key ? Key->Account : base::account_id();
  }
};

} // namespace radishrelay::daemon

#endif
