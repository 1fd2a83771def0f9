#include "radishrelay/base/log.h"
#include "radishrelay/daemon/daemon_process.h"
#include "radishrelay/daemon/session_daemon.h"
#include "radishrelay/platform/services.h"
#include "radishrelay/platform/wire_protocol.h"

#include <Poco/Exception.h>

#include <boost/program_options.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace radishrelay;
namespace options = boost::program_options;

constexpr int Success = 0;
constexpr int Failed = 1;
constexpr int UsageError = 2;

/// Blocks the signals that request a graceful shutdown and returns them. Call
/// it before any thread starts: all threads inherit the mask, so that only
/// sigtimedwait() receives the signals.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/// Waits up to 100 ms for one of the signals. The wait is bounded so that the
/// waiting thread also ends after a stop that an operator requested.
bool isStopRequested(const sigset_t &Signals) {
  constexpr long CheckNanoseconds = 100'000'000;
  timespec Timeout{0, CheckNanoseconds};
  return sigtimedwait(&Signals, nullptr, &Timeout) > 0;
}

int runDaemon(const daemon::daemon_settings &Settings) {
  base::configureLog(base::parseLogLevel(Settings.LogLevel));
  sigset_t Signals = blockStopSignals();
  base::log_writer LogWriter;
  try {
    daemon::daemon_process Process(Settings);
    std::atomic<bool> Ended{false};
    std::thread SignalThread([&] {
      while (!Ended)
        if (isStopRequested(Signals))
          Process.requestStop();
    });
    Process.wait();
    Ended = true;
    SignalThread.join();
    base::logEvent(base::log_level::Info, "stopped");
    return Success;
  } catch (const Poco::Exception &Error) {
    base::json Fields = base::json::object();
    Fields["error"] = Error.displayText();
    Fields["step"] = "start";
    base::logEvent(base::log_level::Error, "cannot start", Fields);
    return Failed;
  }
}

/// Serves sessions on the users' platform until a graceful shutdown is
/// complete.
int runSessions(const daemon::session_settings &Settings) {
  base::configureLog(base::parseLogLevel(Settings.LogLevel),
                     base::log_stream::StandardOutput);
  sigset_t Signals = blockStopSignals();
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  base::log_writer LogWriter;
  try {
    platform::wire_protocol Protocol;
    daemon::session_daemon Daemon(
        Settings, Protocol,
        platform::makeServices(
            {Settings.StoreAddress, Settings.PromotionsAddress}));
    std::atomic<bool> Ended{false};
    std::thread SignalThread([&] {
      constexpr long CheckNanoseconds = 500'000'000;
      timespec Timeout{0, CheckNanoseconds};
      while (!Ended) {
        int Signal = sigtimedwait(&Signals, nullptr, &Timeout);
        if (Signal == SIGHUP)
          Daemon.requestReload();
        else if (Signal > 0)
          Daemon.requestStop();
      }
    });
    Daemon.run();
    Ended = true;
    SignalThread.join();
    base::logEvent(base::log_level::Info, "stopped");
    return Success;
  } catch (const Poco::Exception &Error) {
    base::logEvent(base::log_level::Error, "cannot start",
                   {{"error", Error.displayText()}, {"step", "start"}});
    return Failed;
  }
}

int runCommandLine(int Count, char **Values) {
  options::options_description Options("radishrelayd");
  auto Add = Options.add_options();
  Add("settings", options::value<std::string>(), "run with this settings file");
  Add("serve-sessions", options::value<std::string>(),
      "serve sessions on the users' platform with this settings file");
  Add("check-settings", options::value<std::string>(),
      "check the settings file and exit");
  Add("version", "print the version");
  Add("help,h", "print this help");
  options::variables_map Parsed;
  try {
    options::store(options::parse_command_line(Count, Values, Options), Parsed);
  } catch (const options::error &Error) {
    std::cerr << "radishrelayd: " << Error.what() << "\n" << Options;
    return UsageError;
  }
  if (Parsed.count("help") || Parsed.count("version")) {
    if (Parsed.count("help"))
      std::cout << Options;
    else
      std::cout << "radishrelayd 0.1.0\n";
    return Success;
  }
  if (Parsed.count("serve-sessions")) {
    auto Settings =
        daemon::readSessionSettings(Parsed["serve-sessions"].as<std::string>());
    if (Settings)
      return runSessions(*Settings);
    std::cerr << "radishrelayd: " << Settings.error() << "\n";
    return UsageError;
  }
  bool OnlyCheck = Parsed.count("check-settings") > 0;
  if (!OnlyCheck && !Parsed.count("settings")) {
    std::cerr << "radishrelayd: --settings FILE is required\n" << Options;
    return UsageError;
  }
  std::string File =
      Parsed[OnlyCheck ? "check-settings" : "settings"].as<std::string>();
  auto Settings = daemon::readDaemonSettings(File);
  if (!Settings) {
    std::cerr << "radishrelayd: " << Settings.error() << "\n";
    return UsageError;
  }
  return OnlyCheck ? Success : runDaemon(*Settings);
}

} // namespace

int main(int Count, char **Values) { return runCommandLine(Count, Values); }
