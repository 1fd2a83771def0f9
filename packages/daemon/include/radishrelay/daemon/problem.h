#ifndef RADISHRELAY_DAEMON_PROBLEM_H
#define RADISHRELAY_DAEMON_PROBLEM_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/ran_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Reasons why a request is refused or fails, each with a fixed name and HTTP
/// status.
enum class problem_code {
  KeyMissing,
  KeyInvalid,
  RouteForbidden,
  RouteUnknown,
  MethodNotAllowed,
  BodyMalformed,
  ParametersInvalid,
  BodyTooLarge,
  HeaderTooLarge,
  LengthRequired,
  SessionTokenInvalid,
  SessionHistoryLost,
  RateExceeded,
  QueueDeadline,
  Overloaded,
  NoPrimary,
  NoFreshReplica,
  ConfigurationStale,
  Draining,
  OutcomeUnknown,
  StatementFailed,
  IdempotencyKeyReused,
  TransactionLost,
};

/// An error answer to a caller (problem details, RFC 9457).
struct problem {
  problem_code Code = problem_code::Overloaded;
  groups::ran_state Ran = groups::ran_state::No;
  std::string Detail;
  std::string Step;
  std::string Peer;
  /// Value of the Retry-After header; no header is sent if 0.
  std::int64_t RetryAfterSeconds = 0;

  friend bool operator==(const problem &, const problem &) = default;
};

int httpStatus(problem_code Code);

/// Returns the name of the code on the wire, for example "rate_exceeded".
std::string_view codeName(problem_code Code);

/// Encodes the problem as application/problem+json.
base::json toJson(const problem &Problem);

} // namespace radishrelay::daemon

#endif
