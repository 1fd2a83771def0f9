// A client that sends messages of legal size to two daemons of a small
// deployment. The platform ends a process that exceeds the memory of its
// machine; this program does so in its place, and starts the process again.
//
// memory_limit FOLDER; TROUBLE=0 lets the same client send short messages.
#include "platform.hh"

#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

/// memoryMb of a machine of granite-sheds.
constexpr long MemoryKb = 182 * 1024;
/// A message has at most 1 MiB, CR LF included.
constexpr std::size_t MaxMessage = 1024 * 1024;
constexpr int EndsWanted = 3;
constexpr auto RoundTime = 12s;

bool HasTrouble = true;

/// A message of the largest legal size, or a short one without trouble.
std::string message(const std::string &Start) {
  std::string Text = "QUERY " + newId() + " " + Start;
  std::size_t Size = HasTrouble ? MaxMessage - 2 : Text.size() + 100;
  Text.append(Size - Text.size(), 'x');
  return Text + "\r\n";
}

/// Sends without waiting for ever, so that a round ends in time.
void limitSends(int Socket) {
  timeval Limit{2, 0};
  setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
}

/// One client sets 400 session values, one after the other, and reads each
/// answer.
void setValues(int Port, std::atomic<bool> &IsOver) {
  client Client;
  if (!Client.start(Port, "queue", "key1"))
    return;
  limitSends(Client.socket());
  line_reader Reader(Client.socket());
  std::string Line;
  for (int Number = 0; Number < 400 && !IsOver; ++Number) {
    std::string Bytes = message("SET v" + std::to_string(Number) + " ");
    record().line("client < " + Bytes);
    if (!sendAll(Client.socket(), Bytes))
      return;
    while (Reader.next(Line, 3000)) {
      record().line("client > " + Line);
      if (Line.rfind("READY", 0) == 0)
        break;
    }
  }
}

/// Asks ordinary statements until one is served.
bool isServed(const daemon_process &Daemon, std::chrono::seconds Limit) {
  auto Until = std::chrono::steady_clock::now() + Limit;
  std::string Last;
  while (std::chrono::steady_clock::now() < Until) {
    client Client;
    if (Client.start(Daemon.front(), "queue", "key1")) {
      Last = Client.ask("WRITE 1a4 qwe");
      if (Last.rfind("COMPLETE r", 0) == 0) {
        record().line(Daemon.id() + " serves an ordinary write: " + Last);
        return true;
      }
    }
    std::this_thread::sleep_for(200ms);
  }
  record().line(Daemon.id() + " serves no ordinary write: " + Last);
  return false;
}

/// Plays the client against one daemon. Returns whether its process ended.
bool playRound(daemon_process &Daemon) {
  record().line(Daemon.id() + " has " + std::to_string(Daemon.residentKb()) +
                " kB; the client comes");
  std::atomic<bool> IsOver = false;
  std::atomic<bool> HasLeft = false;
  std::thread Clients([&] {
    setValues(Daemon.front(), IsOver);
    HasLeft = true;
  });
  auto Until = std::chrono::steady_clock::now() + RoundTime;
  bool HasEnded = false;
  long Peak = 0;
  while (!HasEnded && !HasLeft && std::chrono::steady_clock::now() < Until) {
    long Now = Daemon.residentKb();
    Peak = std::max(Peak, Now);
    if (Daemon.hasEnded()) {
      HasEnded = true;
    } else if (Now > MemoryKb) {
      record().line(Daemon.id() + " has " + std::to_string(Now) +
                    " kB, over its " + std::to_string(MemoryKb) +
                    " kB; killed as the platform does");
      Daemon.kill();
      HasEnded = true;
    }
    std::this_thread::sleep_for(5ms);
  }
  IsOver = true;
  Clients.join();
  record().line(Daemon.id() + " peak " + std::to_string(Peak) + " kB");
  return HasEnded;
}

} // namespace

int main(int Count, char **Values) {
  if (Count != 2)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  std::string Folder = Values[1];
  HasTrouble = !getenv("TROUBLE") || std::string(getenv("TROUBLE")) != "0";
  record().open("record.txt");
  record().line(HasTrouble ? "long values" : "short values (TROUBLE=0)");

  static store Store;
  static database_group Group;
  static duty_service Duties;
  Store.start();
  Duties.start(
      {{"huvo11a", [](const std::string &Id) { return Group.promote(Id); }}});
  Store.put("op", "config", configuration("huvo11a", 7));
  Group.start("huvo11a", Store, {"ne-boston", "ne-hartford", "ne-portland"});
  if (chdir(getenv("RADISHRELAY_ROOT")) != 0)
    return 2;
  daemon_process First("front-ne-boston-1", "ne-boston", Folder,
                       Store.address(), Duties.address());
  daemon_process Second("front-ne-hartford-1", "ne-hartford", Folder,
                        Store.address(), Duties.address());
  int Broken = 0;
  bool CanRun = true;
  for (daemon_process *Daemon : {&First, &Second})
    Daemon->start();
  for (daemon_process *Daemon : {&First, &Second})
    CanRun = CanRun && isServed(*Daemon, 25s);
  for (daemon_process *Daemon : {&First, &Second}) {
    int Ends = 0;
    for (int Round = 0; CanRun && Round < EndsWanted; ++Round) {
      if (!playRound(*Daemon))
        continue;
      ++Ends;
      Daemon->start();
      CanRun = isServed(*Daemon, 12s);
    }
    record().line(Daemon->id() + " ended " + std::to_string(Ends) + " times");
    Broken += Ends >= EndsWanted ? 1 : 0;
  }
  for (daemon_process *Daemon : {&First, &Second})
    CanRun = CanRun && isServed(*Daemon, 12s);
  First.kill();
  Second.kill();
  int Result = !CanRun ? 2 : Broken == 2 ? 1 : 0;
  record().line(Result == 2   ? "the case could not run"
                : Result == 1 ? "BROKEN: on two machines the process ended "
                                "three times by itself (memory over the limit)"
                              : "held");
  std::cout << "result " << Result << std::endl;
  _exit(Result);
}
