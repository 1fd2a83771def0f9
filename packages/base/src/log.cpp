#include "radishrelay/base/log.h"

#include "radishrelay/base/bounded_ring.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Exception.h>
#include <Poco/Timestamp.h>

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>

INITIALIZE_EASYLOGGINGPP

namespace radishrelay::base {

namespace {

std::atomic<log_level> MinLevel{log_level::Info};

constexpr std::array<std::string_view, 4> LevelNames{"debug", "info", "warning",
                                                     "error"};

/// Capacity of the queue of the log_writer; further lines are dropped.
constexpr std::size_t MaxPendingLines = 8192;

std::atomic<bool> WriterRunning{false};
std::atomic<std::uint64_t> DroppedLines{0};

bounded_ring<std::string> &pendingLines() {
  static bounded_ring<std::string> Lines(MaxPendingLines);
  return Lines;
}

std::string_view levelName(log_level Level) {
  return LevelNames.at(static_cast<std::size_t>(Level));
}

std::atomic<std::FILE *> OutputStream{stderr};

/// Writes each easylogging++ message unchanged, as one line with a single
/// fwrite call.
class line_dispatch final : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) noexcept override {
    std::string Line = Data->logMessage()->message() + "\n";
    std::FILE *Stream = OutputStream.load();
    std::fwrite(Line.data(), 1, Line.size(), Stream);
    std::fflush(Stream);
  }
};

} // namespace

log_level parseLogLevel(std::string_view Name) {
  for (std::size_t Index = 0; Index < LevelNames.size(); ++Index)
    if (LevelNames.at(Index) == Name)
      return static_cast<log_level>(Index);
  return log_level::Info;
}

void configureLog(log_level Threshold, log_stream Stream) {
  MinLevel = Threshold;
  OutputStream = Stream == log_stream::StandardOutput ? stdout : stderr;
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::Format, "%msg");
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(Settings);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<line_dispatch>("lines");
}

namespace {

std::string formatLine(log_level Level, std::string_view Event,
                       const json &Fields) {
  json Line = json::object();
  Line["time"] = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
  Line["level"] = levelName(Level);
  Line["event"] = Event;
  Line.update(Fields);
  return Line.dump(-1, ' ', false, json::error_handler_t::replace);
}

void writePendingLines() {
  while (std::optional<std::string> Line = pendingLines().tryPop())
    LOG(INFO) << *Line;
}

[[noreturn]] void endByException() {
  std::string Message = "unknown";
  try {
    if (std::exception_ptr Error = std::current_exception())
      std::rethrow_exception(Error);
  } catch (const Poco::Exception &Error) {
    Message = Error.displayText();
  } catch (const std::exception &Error) {
    Message = Error.what();
  } catch (...) {
    Message = "not a std::exception";
  }
  logBeforeExit(log_level::Error, "ended by an exception",
                {{"error", Message}, {"step", "run"}});
  std::abort();
}

} // namespace

void logEvent(log_level Level, std::string_view Event, const json &Fields) {
  if (Level < MinLevel.load())
    return;
  std::string Text = formatLine(Level, Event, Fields);
  if (!WriterRunning.load())
    LOG(INFO) << Text;
  else if (!pendingLines().tryPush(std::move(Text)))
    ++DroppedLines;
}

void logBeforeExit(log_level Level, std::string_view Event,
                   const json &Fields) {
  std::string Text = formatLine(Level, Event, Fields);
  writePendingLines();
  LOG(INFO) << Text;
}

void logUncaughtExceptions() { std::set_terminate(endByException); }

log_writer::log_writer() {
  WriterRunning = true;
  Thread = std::thread([this] { run(); });
}

log_writer::~log_writer() {
  WriterRunning = false;
  Thread.join();
  writePendingLines();
}

void log_writer::run() {
  constexpr auto CheckInterval = std::chrono::milliseconds(100);
  while (WriterRunning.load()) {
    auto Deadline = monotonic_clock::now() + CheckInterval;
    if (std::optional<std::string> Line = pendingLines().popUntil(Deadline))
      LOG(INFO) << *Line;
    if (std::uint64_t Dropped = DroppedLines.exchange(0)) {
      json Fields = json::object();
      Fields["count"] = Dropped;
      logEvent(log_level::Warning, "log lines dropped", Fields);
    }
  }
}

json logFields(const failure &Failure) {
  json Fields = json::object();
  Fields["error"] = Failure.Code.message();
  Fields["step"] = Failure.Step;
  Fields["peer"] = Failure.Peer;
  if (!Failure.Detail.empty())
    Fields["detail"] = Failure.Detail;
  return Fields;
}

} // namespace radishrelay::base
