#ifndef RADISHRELAY_DAEMON_DECISION_LOG_H
#define RADISHRELAY_DAEMON_DECISION_LOG_H

#include "radishrelay/base/metrics_registry.h"
#include "radishrelay/sessions/event_log.h"

namespace radishrelay::daemon {

/// Writes the session engine's events to the log at a bounded rate.
///
/// Every state change is logged, failed statements up to MaxFailuresPerSecond,
/// and one of every SampleInterval successful statements. Suppressed failures
/// are counted in radishrelay_log_lines_suppressed_total.
class decision_log final : public sessions::event_log {
public:
  explicit decision_log(base::metrics_registry &Metrics) : Metrics(Metrics) {}

  void stateChange(std::string_view Event, const base::json &Fields) override;
  void decision(std::string_view Event, const base::json &Fields) override;
  [[nodiscard]] bool wantsDecision(bool IsFailure) override;

private:
  base::metrics_registry &Metrics;
  base::time_point SecondStartedAt;
  std::uint32_t FailuresThisSecond = 0;
  std::uint64_t Successes = 0;
};

} // namespace radishrelay::daemon

#endif
