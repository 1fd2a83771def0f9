#ifndef RADISHRELAY_SESSIONS_EVENT_LOG_H
#define RADISHRELAY_SESSIONS_EVENT_LOG_H

#include "radishrelay/base/json.h"

#include <string_view>

namespace radishrelay::sessions {

/// Receives the events that explain to operators what callers observed.
class event_log {
public:
  virtual ~event_log() = default;
  /// Logs a change in this host's view of the system; always written.
  virtual void stateChange(std::string_view Event,
                           const base::json &Fields) = 0;
  /// Logs a decision about one statement; the number written is limited.
  virtual void decision(std::string_view Event, const base::json &Fields) = 0;
  /// Whether a decision would be written now, so that callers can skip building
  /// the fields.
  [[nodiscard]] virtual bool wantsDecision(bool IsFailure) = 0;
};

} // namespace radishrelay::sessions

#endif
