#ifndef RADISHRELAY_ACCOUNTS_AUDIT_OUTCOME_H
#define RADISHRELAY_ACCOUNTS_AUDIT_OUTCOME_H

#include <cstddef>
#include <string_view>

namespace radishrelay::accounts {

/// How a request of a client account was decided, for the audit.
enum class audit_outcome {
  Admitted,
  RateExceeded,
  KeyInvalid,
  RouteForbidden,
  ConfigurationStale,
  QueueDeadline,
  Draining,
  OtherRefusal,
};

constexpr std::size_t AuditOutcomeCount = 8;

/// Name in the audit's JSON lines; refusals have the code of the caller API.
constexpr std::string_view toString(audit_outcome Outcome) {
  constexpr std::string_view Names[AuditOutcomeCount] = {"admitted",
                                                         "rate_exceeded",
                                                         "key_invalid",
                                                         "route_forbidden",
                                                         "configuration_stale",
                                                         "queue_deadline",
                                                         "draining",
                                                         "other"};
  return Names[static_cast<std::size_t>(Outcome)];
}

} // namespace radishrelay::accounts

#endif
