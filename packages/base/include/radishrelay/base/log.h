#ifndef RADISHRELAY_BASE_LOG_H
#define RADISHRELAY_BASE_LOG_H

#include "radishrelay/base/failure.h"
#include "radishrelay/base/json.h"

#include <string>
#include <string_view>
#include <thread>

namespace radishrelay::base {

/// Severity of a log event, in rising order.
enum class log_level { Debug, Info, Warning, Error };

/// Where log lines go.
enum class log_stream { StandardError, StandardOutput };

/// Sets up easylogging++ to write JSON lines. Call once at the start of a
/// program.
void configureLog(log_level Threshold,
                  log_stream Stream = log_stream::StandardError);

/// Parses "debug", "info", "warning" or "error"; anything else gives Info.
log_level parseLogLevel(std::string_view Name);

/// Writes one line {"time","level","event",...Fields}. \p Fields must hold
/// neither keys nor tokens.
void logEvent(log_level Level, std::string_view Event,
              const json &Fields = json::object());

/// Starts a thread that writes the log lines, so that a slow reader of the
/// lines holds up no other thread. When it falls too far behind, lines are
/// dropped, and a line "log lines dropped" tells how many.
class log_writer {
public:
  log_writer();
  /// Writes the lines that wait, then ends the thread.
  ~log_writer();
  log_writer(const log_writer &) = delete;
  log_writer &operator=(const log_writer &) = delete;

private:
  void run();

  std::thread Thread;
};

/// Returns the failure as log fields "error", "step", "peer", "detail".
json logFields(const failure &Failure);

} // namespace radishrelay::base

#endif
