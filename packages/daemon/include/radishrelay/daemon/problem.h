#ifndef RADISHRELAY_DAEMON_PROBLEM_H
#define RADISHRELAY_DAEMON_PROBLEM_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/ran_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace radishrelay::daemon {

/// Reasons for a refusal, each with a fixed code and HTTP status.
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

/// A refusal as the caller sees it (problem details, RFC 9457).
struct problem {
  problem_code Code = problem_code::Overloaded;
  groups::ran_state Ran = groups::ran_state::No;
  std::string Detail;
  std::string Step;
  std::string Peer;
  /// Seconds for the Retry-After header; 0 leaves it out.
  std::int64_t RetryAfterSeconds = 0;

  friend bool operator==(const problem &, const problem &) = default;
};

/// HTTP status of the code.
int httpStatus(problem_code Code);

/// The stable name of the code, for example "rate_exceeded".
std::string_view codeName(problem_code Code);

/// Body of media type application/problem+json.
base::json toJson(const problem &Problem);

} // namespace radishrelay::daemon

#endif
