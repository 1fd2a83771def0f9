#ifndef RADISHRELAY_CLI_SRC_CHILD_DAEMON_H
#define RADISHRELAY_CLI_SRC_CHILD_DAEMON_H

#include <Poco/Pipe.h>
#include <Poco/Process.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace radishrelay::cli {

/// A radishrelayd process; killed when it goes out of scope.
class child_daemon {
public:
  /// Throws Poco::SystemException when the process cannot be started.
  child_daemon(const std::string &Program, const std::string &SettingsFile);
  ~child_daemon();
  child_daemon(const child_daemon &) = delete;
  child_daemon &operator=(const child_daemon &) = delete;

  /// Waits for a log line of the event; false at the end of the log or after
  /// \p Seconds.
  bool awaitEvent(const std::string &Event, int Seconds);
  /// Does nothing once the process was waited for.
  void signal(int Number);
  /// Waits for the end; a process killed by a signal gives the negative number.
  int wait();
  /// The last lines of the log.
  [[nodiscard]] std::string lastLines(std::size_t Count) const;

private:
  void readLog();

  Poco::Pipe Log;
  std::optional<Poco::ProcessHandle> Process;
  std::optional<int> ExitCode;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Lines;
  bool EndOfLog = false;
  std::thread Reader;
};

} // namespace radishrelay::cli

#endif
