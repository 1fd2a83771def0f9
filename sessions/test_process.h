#ifndef RADISHRELAY_SESSIONS_TEST_PROCESS_H
#define RADISHRELAY_SESSIONS_TEST_PROCESS_H

#include "radishrelay/base/json.h"

#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace radishrelay::sessions {

/// Which stream of a program carries its JSON lines.
enum class json_stream { Output, Error };

/// A program started by a test; killed when it goes out of scope.
class test_process {
public:
  test_process(const std::string &Program,
               const std::vector<std::string> &Arguments, json_stream Stream);
  ~test_process();
  test_process(const test_process &) = delete;
  test_process &operator=(const test_process &) = delete;

  /// Waits for a line whose member "event" is \p Event, or for the first line
  /// when \p Event is empty. Throws std::runtime_error at the end of the
  /// stream.
  base::json awaitLine(const std::string &Event);

  void signal(int Number);

  /// Waits for the end and returns the exit code.
  int wait();

  /// All lines so far.
  std::string output() const;

private:
  void read();

  Poco::Pipe Pipe;
  std::optional<Poco::ProcessHandle> Handle;
  std::thread Reader;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Lines;
  bool EndOfStream = false;
  std::optional<int> ExitCode;
};

} // namespace radishrelay::sessions

#endif
