#ifndef RADISHRELAY_BASE_LOG_H
#define RADISHRELAY_BASE_LOG_H

#include "radishrelay/base/failure.h"
#include "radishrelay/base/json.h"

#include <string>
#include <string_view>
#include <thread>

namespace radishrelay::base {

/// Severity of a log event, in ascending order.
enum class log_level { Debug, Info, Warning, Error };

/// Output stream for log lines.
enum class log_stream { StandardError, StandardOutput };

/// Configures easylogging++ to write JSON lines and sets the lowest level that
/// is logged. To be called once at program start.
void configureLog(log_level Threshold,
                  log_stream Stream = log_stream::StandardError);

/// Parses "debug", "info", "warning" or "error"; any other text gives Info.
log_level parseLogLevel(std::string_view Name);

/// Logs one line {"time","level","event",...Fields}. \p Fields must contain
/// neither keys nor tokens.
void logEvent(log_level Level, std::string_view Event,
              const json &Fields = json::object());

/// Logs one line as logEvent does, but writes it and all pending lines before
/// it returns. For a process that is about to end.
void logBeforeExit(log_level Level, std::string_view Event,
                   const json &Fields = json::object());

/// Makes a process that an uncaught exception ends log the event "ended by an
/// exception" with the exception's message before it aborts.
void logUncaughtExceptions();

/// Writes log lines on a thread of its own, so that a slow reader of the output
/// stream does not block the threads that log. While the queue of pending lines
/// is full, further lines are dropped; the event "log lines dropped" reports
/// their number. Without a log_writer, logEvent writes lines itself.
class log_writer {
public:
  log_writer();
  /// Stops the thread and writes the pending lines.
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
