#ifndef RADISHRELAY_SESSIONS_REFUSAL_H
#define RADISHRELAY_SESSIONS_REFUSAL_H

#include <optional>
#include <string_view>

namespace radishrelay::sessions {

/// Why a statement or a session was not served.
enum class refusal {
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  Misrouted,
  /// A limit of connections, or of an account's rate, is reached.
  TooMany,
  InDoubt,
  Timeout,
  Failed,
  UnknownKey,
  UnknownDatabase,
  Malformed,
  UnknownName,
  /// A code that this version does not know; promises nothing.
  Other,
};

/// True when nothing of the client's attempt is kept.
constexpr bool promisesNothingKept(refusal Refusal) {
  return Refusal == refusal::Busy || Refusal == refusal::Aborted ||
         Refusal == refusal::Lagging || Refusal == refusal::ReadOnly ||
         Refusal == refusal::Misrouted || Refusal == refusal::TooMany;
}

/// Name for logs and metrics, in snake case.
std::string_view refusalName(refusal Refusal);

} // namespace radishrelay::sessions

#endif
