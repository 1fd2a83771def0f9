#include "child_daemon.h"

#include <Poco/PipeStream.h>

#include <algorithm>
#include <csignal>

namespace radishrelay::cli {

child_daemon::child_daemon(const std::string &Program,
                           const std::string &SettingsFile) {
  Process.emplace(Poco::Process::launch(Program, {"--settings", SettingsFile},
                                        nullptr, nullptr, &Log));
  Reader = std::thread([this] { readLog(); });
}

child_daemon::~child_daemon() {
  signal(SIGKILL);
  wait();
  Reader.join();
}

void child_daemon::readLog() {
  // A log of a long run must not grow without bound in memory.
  constexpr std::size_t MostLines = 2000;
  Poco::PipeInputStream Input(Log);
  for (std::string Line; std::getline(Input, Line);) {
    std::lock_guard Guard(Mutex);
    if (Lines.size() >= MostLines)
      Lines.erase(Lines.begin(), Lines.begin() + MostLines / 2);
    Lines.push_back(Line);
    Changed.notify_all();
  }
  std::lock_guard Guard(Mutex);
  EndOfLog = true;
  Changed.notify_all();
}

bool child_daemon::awaitEvent(const std::string &Event, int Seconds) {
  std::string Member = "\"event\":\"" + Event + "\"";
  auto Contains = [&](const std::string &Line) {
    return Line.find(Member) != std::string::npos;
  };
  auto Found = [&] {
    return std::any_of(Lines.begin(), Lines.end(), Contains);
  };
  std::unique_lock Lock(Mutex);
  Changed.wait_for(Lock, std::chrono::seconds(Seconds),
                   [&] { return EndOfLog || Found(); });
  return Found();
}

void child_daemon::signal(int Number) {
  if (!ExitCode)
    ::kill(Process->id(), Number);
}

int child_daemon::wait() {
  if (!ExitCode)
    ExitCode = Process->wait();
  return *ExitCode;
}

std::string child_daemon::lastLines(std::size_t Count) const {
  std::lock_guard Guard(Mutex);
  std::string Text;
  for (std::size_t Index = Lines.size() - std::min(Count, Lines.size());
       Index < Lines.size(); ++Index)
    Text += Lines[Index] + "\n";
  return Text;
}

} // namespace radishrelay::cli
