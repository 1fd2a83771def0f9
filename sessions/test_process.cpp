#include "test_process.h"

#include <csignal>
#include <stdexcept>

namespace radishrelay::sessions {

test_process::test_process(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           json_stream Stream) {
  Poco::Pipe *Out = Stream == json_stream::Output ? &Pipe : nullptr;
  Poco::Pipe *Error = Stream == json_stream::Error ? &Pipe : nullptr;
  Handle.emplace(
      Poco::Process::launch(Program, Arguments, nullptr, Out, Error));
  Reader = std::thread([this] { read(); });
}

test_process::~test_process() {
  if (!ExitCode) {
    signal(SIGKILL);
    wait();
  }
  Reader.join();
}

void test_process::read() {
  Poco::PipeInputStream Input(Pipe);
  for (std::string Line; std::getline(Input, Line);) {
    std::lock_guard Guard(Mutex);
    Lines.push_back(Line);
    Changed.notify_all();
  }
  std::lock_guard Guard(Mutex);
  EndOfStream = true;
  Changed.notify_all();
}

base::json test_process::awaitLine(const std::string &Event) {
  std::unique_lock Lock(Mutex);
  for (std::size_t Index = 0;; ++Index) {
    Changed.wait(Lock, [&] { return Index < Lines.size() || EndOfStream; });
    if (Index >= Lines.size())
      throw std::runtime_error("the program ended before \"" + Event + "\"");
    base::json Line = base::json::parse(Lines[Index], nullptr, false);
    if (Line.is_object() && (Event.empty() || Line.value("event", "") == Event))
      return Line;
  }
}

void test_process::signal(int Number) {
  if (!ExitCode)
    ::kill(Handle->id(), Number);
}

int test_process::wait() {
  if (!ExitCode)
    ExitCode = Handle->wait();
  return *ExitCode;
}

std::string test_process::output() const {
  std::lock_guard Guard(Mutex);
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

} // namespace radishrelay::sessions
