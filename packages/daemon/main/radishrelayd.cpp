#include "radishrelay/base/log.h"
#include "radishrelay/daemon/daemon_process.h"
#include "radishrelay/daemon/session_daemon.h"
#include "radishrelay/daemon/start_retry.h"
#include "radishrelay/platform/services.h"
#include "radishrelay/platform/wire_protocol.h"

#include <Poco/Exception.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

namespace {

using namespace radishrelay;
namespace options = boost::program_options;

constexpr int Success = 0;
constexpr int Failed = 1;
constexpr int UsageError = 2;

/// Returns the signals that request a graceful shutdown or a reload.
sigset_t controlSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// Waits for one of \p Signals; returns 0 if none arrives within \p Time, which
/// must be less than a second.
int waitForSignal(const sigset_t &Signals, base::duration Time) {
  auto Nanoseconds = std::chrono::nanoseconds(Time).count();
  timespec Timeout{0, static_cast<long>(Nanoseconds)};
  return std::max(0, sigtimedwait(&Signals, nullptr, &Timeout));
}

/// Interval at which the thread that waits for signals checks whether the
/// process has stopped for another reason.
constexpr base::duration SignalCheckInterval = std::chrono::milliseconds(500);

/// Passes signals on to a handler on a thread of its own.
class signal_thread {
public:
  explicit signal_thread(std::function<void(int Signal)> Handle)
      : Handle(std::move(Handle)), Thread([this] { run(); }) {}
  ~signal_thread() {
    HasEnded = true;
    Thread.join();
  }
  signal_thread(const signal_thread &) = delete;
  signal_thread &operator=(const signal_thread &) = delete;

private:
  void run() {
    sigset_t Signals = controlSignals();
    while (!HasEnded)
      if (int Signal = waitForSignal(Signals, SignalCheckInterval))
        Handle(Signal);
  }

  std::function<void(int Signal)> Handle;
  std::atomic<bool> HasEnded{false};
  std::thread Thread;
};

/// Logs why the process ends, and returns its exit status.
int endWith(bool HasStarted, const std::string &Error) {
  base::logEvent(base::log_level::Error,
                 HasStarted ? "ended by an exception" : "cannot start",
                 {{"error", Error}, {"step", HasStarted ? "run" : "start"}});
  return Failed;
}

/// Calls \p Run, which sets its argument when the start is complete, and logs
/// an exception as the end of the process.
int runLogged(const std::function<int(bool &HasStarted)> &Run) {
  bool HasStarted = false;
  try {
    return Run(HasStarted);
  } catch (const Poco::Exception &Error) {
    return endWith(HasStarted, Error.displayText());
  } catch (const std::exception &Error) {
    return endWith(HasStarted, Error.what());
  }
}

int runDaemon(const daemon::daemon_settings &Settings) {
  base::configureLog(base::parseLogLevel(Settings.LogLevel));
  base::log_writer LogWriter;
  return runLogged([&](bool &HasStarted) {
    daemon::daemon_process Process(Settings);
    HasStarted = true;
    signal_thread Signals([&](int) { Process.requestStop(); });
    Process.wait();
    base::logEvent(base::log_level::Info, "stopped");
    return Success;
  });
}

/// Serves sessions on the users' platform until a graceful shutdown is
/// complete.
int runSessions(const daemon::session_settings &Settings) {
  base::configureLog(base::parseLogLevel(Settings.LogLevel),
                     base::log_stream::StandardOutput);
  auto LogWriter = std::make_unique<base::log_writer>();
  return runLogged([&](bool &HasStarted) {
    platform::wire_protocol Protocol;
    std::unique_ptr<daemon::session_daemon> Daemon;
    auto Start = [&] {
      Daemon = std::make_unique<daemon::session_daemon>(
          Settings, Protocol,
          platform::makeServices(
              {Settings.StoreAddress, Settings.PromotionsAddress}));
    };
    auto Wait = [](base::duration Time) {
      int Signal = waitForSignal(controlSignals(), Time);
      return Signal == 0 || Signal == SIGHUP;
    };
    if (!daemon::startWhenAddressesAreFree(Start, Wait,
                                           base::monotonic_clock::now() +
                                               daemon::AddressInUseTimeout))
      return Success;
    HasStarted = true;
    signal_thread Signals([&](int Signal) {
      if (Signal == SIGHUP)
        Daemon->requestReload();
      else
        Daemon->requestStop();
    });
    Daemon->run();
    base::logEvent(base::log_level::Info, "stopped");
    LogWriter.reset();
    // A thread that waits in a read of the store would delay the end beyond the
    // grace period.
    std::_Exit(Success);
  });
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

int main(int Count, char **Values) {
  // The signals may arrive at any time, and all threads inherit the mask.
  sigset_t Signals = controlSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  base::logUncaughtExceptions();
  return runCommandLine(Count, Values);
}
