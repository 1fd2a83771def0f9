#ifndef RADISHRELAY_SESSIONS_EVENT_LOG_H
#define RADISHRELAY_SESSIONS_EVENT_LOG_H

#include "radishrelay/base/json.h"

#include <string_view>

namespace radishrelay::sessions {

/// Takes the decisions that explain what callers saw.
class event_log {
public:
  virtual ~event_log() = default;
  /// A change of what this host believes: always written.
  virtual void stateChange(std::string_view Event,
                           const base::json &Fields) = 0;
  /// A decision about one statement: bounded in number.
  virtual void decision(std::string_view Event, const base::json &Fields) = 0;
  /// Whether a decision would be written now; spares building the fields.
  [[nodiscard]] virtual bool wantsDecision(bool IsFailure) = 0;
};

} // namespace radishrelay::sessions

#endif
