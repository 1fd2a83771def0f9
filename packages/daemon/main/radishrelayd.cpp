#include "radishrelay/base/log.h"
#include "radishrelay/daemon/daemon_process.h"

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
constexpr int Usage = 2;

/// Signals that ask for a graceful shutdown, blocked in all threads so that
/// sigwait() in the main thread receives them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/// Waits a short while for one of the signals, so that the waiting thread also
/// ends when the stop came from an operator.
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
    std::thread Waiter([&] {
      while (!Ended)
        if (isStopRequested(Signals))
          Process.requestStop();
    });
    Process.wait();
    Ended = true;
    Waiter.join();
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

int runCommandLine(int Count, char **Values) {
  options::options_description Options("radishrelayd");
  auto Add = Options.add_options();
  Add("settings", options::value<std::string>(), "run with the settings file");
  Add("check-settings", options::value<std::string>(),
      "only check the settings file");
  Add("version", "print the version");
  Add("help,h", "show this text");
  options::variables_map Parsed;
  try {
    options::store(options::parse_command_line(Count, Values, Options), Parsed);
  } catch (const options::error &Error) {
    std::cerr << "radishrelayd: " << Error.what() << "\n" << Options;
    return Usage;
  }
  if (Parsed.count("help") || Parsed.count("version")) {
    if (Parsed.count("help"))
      std::cout << Options;
    else
      std::cout << "radishrelayd 0.1.0\n";
    return Success;
  }
  bool OnlyCheck = Parsed.count("check-settings") > 0;
  if (!OnlyCheck && !Parsed.count("settings")) {
    std::cerr << "radishrelayd: --settings FILE is required\n" << Options;
    return Usage;
  }
  std::string File =
      Parsed[OnlyCheck ? "check-settings" : "settings"].as<std::string>();
  auto Settings = daemon::readDaemonSettings(File);
  if (!Settings) {
    std::cerr << "radishrelayd: " << Settings.error() << "\n";
    return Usage;
  }
  return OnlyCheck ? Success : runDaemon(*Settings);
}

} // namespace

int main(int Count, char **Values) { return runCommandLine(Count, Values); }
