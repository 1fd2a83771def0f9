#include "radishrelay/daemon/decision_log.h"

#include "radishrelay/base/log.h"

namespace radishrelay::daemon {

namespace {

/// One of this many successful statements is logged.
constexpr std::uint64_t SampleInterval = 256;
/// Maximum number of failed statements logged per second.
constexpr std::uint32_t MaxFailuresPerSecond = 20;

} // namespace

void decision_log::stateChange(std::string_view Event,
                               const base::json &Fields) {
  base::logEvent(base::log_level::Info, Event, Fields);
}

void decision_log::decision(std::string_view Event, const base::json &Fields) {
  base::logEvent(base::log_level::Info, Event, Fields);
}

bool decision_log::wantsDecision(bool IsFailure) {
  if (!IsFailure)
    return Successes++ % SampleInterval == 0;
  base::time_point Now = base::monotonic_clock::now();
  if (Now >= SecondStartedAt + std::chrono::seconds(1)) {
    SecondStartedAt = Now;
    FailuresThisSecond = 0;
  }
  if (FailuresThisSecond++ < MaxFailuresPerSecond)
    return true;
  Metrics.increment({"radishrelay_log_lines_suppressed_total"});
  return false;
}

} // namespace radishrelay::daemon
