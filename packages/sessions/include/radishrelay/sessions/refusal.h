#ifndef RADISHRELAY_SESSIONS_REFUSAL_H
#define RADISHRELAY_SESSIONS_REFUSAL_H

#include <optional>
#include <string_view>

namespace radishrelay::sessions {

/// Error code: why a statement or a session was not served. Instances send
/// these codes to the proxy, and the proxy sends them to clients.
enum class refusal {
  Busy,
  /// The transaction was rolled back.
  Aborted,
  /// The replica has not reached the requested log position.
  Lagging,
  /// The instance is a replica and takes no writes.
  ReadOnly,
  Misrouted,
  /// A connection limit, or the rate limit of an account, is reached.
  TooMany,
  /// The commit may or may not have been applied.
  InDoubt,
  Timeout,
  Failed,
  UnknownKey,
  UnknownDatabase,
  Malformed,
  UnknownName,
  /// A code that this version does not know, or a violation of the protocol.
  /// The outcome of the statement is unknown.
  Other,
};

/// Returns true if an answer with \p Refusal guarantees that the statement had
/// no effect, so that it can be sent again.
constexpr bool guaranteesNoEffect(refusal Refusal) {
  return Refusal == refusal::Busy || Refusal == refusal::Aborted ||
         Refusal == refusal::Lagging || Refusal == refusal::ReadOnly ||
         Refusal == refusal::Misrouted || Refusal == refusal::TooMany;
}

/// Returns the name of \p Refusal in logs and metrics, in snake case.
std::string_view refusalName(refusal Refusal);

} // namespace radishrelay::sessions

#endif
