#ifndef RADISHRELAY_ACCOUNTS_AUDIT_OUTCOME_H
#define RADISHRELAY_ACCOUNTS_AUDIT_OUTCOME_H

#include <cstddef>
#include <string_view>

namespace radishrelay::accounts {

/// Admission decision on a request, as counted by audit_log.
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

/// Name in the JSON lines of audit_log. Refusals use the error code of the
/// caller API.
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
