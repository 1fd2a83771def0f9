// A primary is cut off from three of five daemons while a replica is replaced:
// the new replica starts first, and checks in for the first time a little
// later. Clients of a daemon that still reaches the primary write all the
// while.
//
// joining_replica FOLDER [START_MS [CHECK_IN_MS]]: milliseconds from the cut to
// the start of the new replica, and from that to its first check-in.
// TROUBLE=0: no cut.
#include "group_under_cut.hh"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

struct written {
  std::string Text;
  double AnsweredAt;
};

std::mutex Mutex;
std::vector<written> Written;
std::atomic<bool> IsOver = false;

/// Writes without a break, a new text each time.
void keepWriting(const daemon_process &Daemon, const std::string &Name) {
  std::unique_ptr<client> Client;
  for (int Number = 0; !IsOver; ++Number) {
    if (!Client) {
      Client = std::make_unique<client>();
      if (!Client->start(Daemon.front(), "filing", "key1")) {
        Client.reset();
        std::this_thread::sleep_for(50ms);
        continue;
      }
    }
    std::string Text = "WRITE 1a4 " + Name + "-" + std::to_string(Number);
    record().line(Daemon.id() + " < " + Text);
    std::string Outcome = Client->ask(Text);
    double Now = record().now();
    record().line(Daemon.id() + " > " + Text + ": " + Outcome);
    if (Outcome.rfind("COMPLETE r", 0) == 0) {
      std::lock_guard Lock(Mutex);
      Written.push_back({Text, Now});
    } else if (Outcome == "no answer") {
      Client.reset();
    }
    std::this_thread::sleep_for(30ms);
  }
}

bool isServed(const daemon_process &Daemon) {
  for (int Try = 0; Try < 150; ++Try) {
    client Client;
    if (Client.start(Daemon.front(), "filing", "key1") &&
        Client.ask("WRITE 1a4 first-" + newId()).rfind("COMPLETE r", 0) == 0)
      return true;
    std::this_thread::sleep_for(200ms);
  }
  record().line(Daemon.id() + " serves no write");
  return false;
}

} // namespace

int main(int Count, char **Values) {
  signal(SIGPIPE, SIG_IGN);
  std::string Folder = Values[1];
  int StartMs = Count > 2 ? atoi(Values[2]) : 1000;
  int CheckInMs = Count > 3 ? atoi(Values[3]) : 1000;
  bool HasTrouble = !getenv("TROUBLE") || std::string(getenv("TROUBLE")) != "0";
  record().open("record.txt");
  if (chdir(getenv("RADISHRELAY_ROOT")) != 0)
    return 2;
  store Store;
  Store.start();
  group_under_cut Group("huvo11a", Store, 5);
  duty_service Duties;
  Duties.start(
      {{"huvo11a", [&](const std::string &Id) { return Group.promote(Id); }}});
  Store.put("op", "config", configuration("huvo11a", 7));
  std::string Primary = Group.add("ne-boston", 0ms);
  Group.add("ne-hartford", 0ms);
  std::string Leaving = Group.add("ne-portland", 0ms);
  std::vector<std::unique_ptr<daemon_process>> Daemons;
  std::vector<std::pair<std::string, std::string>> Names{
      {"front-ne-boston-1", "ne-boston"},
      {"front-ne-boston-2", "ne-boston"},
      {"front-ne-hartford-1", "ne-hartford"},
      {"front-ne-hartford-2", "ne-hartford"},
      {"front-ne-portland-1", "ne-portland"}};
  for (const auto &[Name, Zone] : Names) {
    Daemons.push_back(std::make_unique<daemon_process>(
        Name, Zone, Folder, Store.startFront(), Duties.address()));
    Daemons.back()->start();
  }
  bool CanRun = true;
  for (auto &Daemon : Daemons)
    CanRun = CanRun && isServed(*Daemon);
  std::vector<std::thread> Writers;
  for (int Number = 0; Number < 3; ++Number)
    Writers.emplace_back([&, Number] {
      keepWriting(*Daemons[2], "w" + std::to_string(Number));
    });
  std::this_thread::sleep_for(1s);
  double CutAt = record().now();
  if (HasTrouble) {
    record().line("the primary " + Primary + " is cut off from " +
                  Names[0].first + ", " + Names[1].first + " and " +
                  Names[4].first);
    for (std::size_t Daemon : {0, 1, 4})
      Group.setCut(Daemon, Primary, true);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(StartMs));
  Group.add("ne-portland", std::chrono::milliseconds(CheckInMs));
  std::this_thread::sleep_for(std::chrono::milliseconds(CheckInMs + 1000));
  Group.setDraining(Leaving);
  while (record().now() < CutAt + 6000)
    std::this_thread::sleep_for(10ms);
  for (std::size_t Daemon : {0, 1, 4})
    Group.setCut(Daemon, Primary, false);
  record().line("the cut ends");
  std::this_thread::sleep_for(1s);
  IsOver = true;
  for (std::thread &Writer : Writers)
    Writer.join();
  for (auto &Daemon : Daemons)
    Daemon->kill();
  double PromotedAt = Group.promotedAt();
  std::set<std::string> Before, After;
  for (const written &Write : Written)
    (Write.AnsweredAt < PromotedAt ? Before : After).insert(Write.Text);
  std::vector<std::string> Lost = Group.missing(Before);
  std::vector<std::string> Late;
  for (const std::string &Text : Group.committedLate())
    if (After.contains(Text))
      Late.push_back(Text);
  for (const std::string &Text : Lost)
    record().line("LOST: answered before the promotion of " +
                  Group.promotedId() + ", not in its log: " + Text);
  for (const std::string &Text : Late)
    record().line("ONE: committed at the old primary after the promotion, and "
                  "answered: " +
                  Text);
  bool IsBroken = PromotedAt > 0 && (!Lost.empty() || !Late.empty());
  int Result = !CanRun ? 2 : IsBroken ? 1 : 0;
  record().line(std::to_string(Written.size()) + " writes answered, " +
                std::to_string(Lost.size()) + " lost, " +
                std::to_string(Late.size()) + " late; result " +
                std::to_string(Result));
  std::cout << Written.size() << " writes, lost " << Lost.size() << ", late "
            << Late.size() << ", promoted " << PromotedAt - CutAt
            << " ms after the cut; result " << Result << std::endl;
  _exit(Result);
}
