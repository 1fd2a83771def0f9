#ifndef RADISHRELAY_GROUPS_RETRY_POLICY_H
#define RADISHRELAY_GROUPS_RETRY_POLICY_H

#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/ran_state.h"

#include <string_view>

namespace radishrelay::groups {

/// Properties of a request on which its repetition depends.
struct request_traits {
  /// Running it twice has the effect of running it once.
  bool IsIdempotent = false;
  /// It carries an idempotency key and runs as a keyed_write.
  bool HasKey = false;

  friend bool operator==(const request_traits &,
                         const request_traits &) = default;
};

/// True when \p SqlState says that the statement was rolled back. Errors of
/// the connection, the server's state or a shutdown may hide a commit.
bool isDefiniteRollback(std::string_view SqlState);

/// True when \p SqlState reports a conflict with a concurrent transaction that
/// a new attempt may not meet.
bool isTransientConflict(std::string_view SqlState);

/// True when \p SqlState is that of a write on an instance that is not, or no
/// longer, the primary.
bool isNotPrimary(std::string_view SqlState);

/// Whether a single statement outside a transaction block took effect.
ran_state ranAfter(const attempt_end &End);

/// True when the request may be sent again after an attempt that did not
/// succeed: nothing is retried once a byte may have reached the backend
/// server, unless a second run is harmless.
bool mayRetry(const request_traits &Traits, const attempt_end &End);

} // namespace radishrelay::groups

#endif
