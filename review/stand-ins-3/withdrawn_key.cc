// The operator takes a key away while a client that was accepted with it has a
// transaction open. The client goes on in its transaction and commits.
//
// withdrawn_key FOLDER. TROUBLE=0: the new configuration keeps the key.
#include "platform.hh"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

/// configApplyMs of granite-sheds.
constexpr double ApplyMs = 3000;
/// revokeMs of granite-sheds.
constexpr double RevokeMs = 5000;

bool isServed(const daemon_process &Daemon, const std::string &Key) {
  for (int Try = 0; Try < 150; ++Try) {
    client Client;
    if (Client.start(Daemon.front(), "filing", Key) &&
        Client.ask("WRITE 1a4 first").rfind("COMPLETE r", 0) == 0)
      return true;
    std::this_thread::sleep_for(200ms);
  }
  return false;
}

} // namespace

int main(int, char **Values) {
  signal(SIGPIPE, SIG_IGN);
  bool HasTrouble = !getenv("TROUBLE") || std::string(getenv("TROUBLE")) != "0";
  record().open("record.txt");
  if (chdir(getenv("RADISHRELAY_ROOT")) != 0)
    return 2;
  static store Store;
  static database_group Group;
  static duty_service Duties;
  Store.start();
  Duties.start(
      {{"huvo11a", [](const std::string &Id) { return Group.promote(Id); }}});
  Store.put("op", "config", configuration("huvo11a", 7));
  Group.start("huvo11a", Store, {"ne-boston", "ne-hartford", "ne-portland"});
  daemon_process First("front-ne-boston-1", "ne-boston", Values[1],
                       Store.address(), Duties.address());
  daemon_process Second("front-ne-hartford-1", "ne-hartford", Values[1],
                        Store.address(), Duties.address());
  First.start();
  Second.start();
  bool CanRun = isServed(Second, "key1") && isServed(First, "key2");
  client Client;
  CanRun = CanRun && Client.start(Second.front(), "filing", "key1");
  auto Ask = [&](const std::string &Text) {
    record().line("key1 < " + Text);
    std::string Outcome = Client.ask(Text);
    record().line("key1 > " + Text + ": " + Outcome);
    return Outcome.rfind("COMPLETE r", 0) == 0;
  };
  Ask("BEGIN");
  CanRun = CanRun && Ask("WRITE 1a4 before");
  Store.put("op", "config",
            configuration("huvo11a", 8, 1,
                          HasTrouble
                              ? std::vector<std::string>{"key2"}
                              : std::vector<std::string>{"key1", "key2"}));
  double AckedAt = record().now();
  record().line(std::string("the store acknowledges version 8, ") +
                (HasTrouble ? "without key1" : "with key1"));
  int Served = 0;
  while (record().now() < AckedAt + RevokeMs + ApplyMs) {
    std::this_thread::sleep_for(500ms);
    double SentAt = record().now();
    if (Ask("READ 1a4") && SentAt > AckedAt + RevokeMs + 500)
      ++Served;
  }
  // A session that starts now shows which version is in force.
  client Late;
  bool IsAccepted = Late.start(Second.front(), "filing", "key1");
  record().line(std::string("a new session with key1 is ") +
                (IsAccepted ? "accepted" : "refused"));
  bool HasWritten = Ask("WRITE 1a4 after");
  bool HasCommitted = Ask("COMMIT");
  First.kill();
  Second.kill();
  bool IsBroken = HasTrouble && (Served > 0 || HasWritten || HasCommitted);
  bool IsInForce = IsAccepted != HasTrouble;
  if (IsBroken)
    record().line("CONFIG: " + std::to_string(Served) +
                  " reads, write: " + std::to_string(HasWritten) +
                  ", commit: " + std::to_string(HasCommitted) +
                  " with a key that was taken away over 5 s before");
  int Result = !CanRun || !IsInForce ? 2 : IsBroken ? 1 : 0;
  record().line("result " + std::to_string(Result));
  std::cout << "reads " << Served << ", write " << HasWritten << ", commit "
            << HasCommitted << "; result " << Result << std::endl;
  _exit(Result);
}
