#ifndef RADISHRELAY_GROUPS_RETRY_POLICY_H
#define RADISHRELAY_GROUPS_RETRY_POLICY_H

#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/ran_state.h"

#include <string_view>

namespace radishrelay::groups {

/// Properties of a request that decide whether it may be retried.
struct request_traits {
  /// True when running the request twice has the same effect as running it
  /// once.
  bool IsIdempotent = false;
  /// True when the request carries an idempotency key and runs as a
  /// keyed_write.
  bool HasKey = false;

  friend bool operator==(const request_traits &,
                         const request_traits &) = default;
};

/// True when \p SqlState proves that the statement was rolled back. After
/// errors of the connection or of the server's state, or a shutdown of the
/// server, the statement may have been committed; the result is false for these
/// and for an empty text.
bool isDefiniteRollback(std::string_view SqlState);

/// True when \p SqlState reports a conflict with a concurrent transaction, so
/// that a new attempt may succeed.
bool isTransientConflict(std::string_view SqlState);

/// True when \p SqlState reports a write to an instance that is not, or is no
/// longer, the primary.
bool isNotPrimary(std::string_view SqlState);

/// Returns whether an attempt with a single statement outside a transaction
/// block took effect.
ran_state ranAfter(const attempt_end &End);

/// True when the request may be sent again after \p End. A failed attempt of
/// which no byte can have reached the backend server may always be repeated.
/// Any other is repeated only if the request is idempotent or carries a key,
/// and the error is not one that the statement would meet again.
bool mayRetry(const request_traits &Traits, const attempt_end &End);

} // namespace radishrelay::groups

#endif
