// A primary is cut off from three of five daemons while a replica is replaced:
// the new replica starts first, and checks in for the first time a little
// later. Clients of a daemon that still reaches the primary write all the
// while.
//
// joining_replica FOLDER [START_MS [CHECK_IN_MS]]: milliseconds from the cut to
// the start of the new replica, and from that to its first check-in.
// TROUBLE=0: no cut.
#include "group_under_cut.hh"
#include "writing_clients.hh"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

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
  writing_clients Writers;
  for (int Number = 0; Number < 3; ++Number)
    Writers.start(*Daemons[2], "w" + std::to_string(Number));
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
  Writers.stop();
  for (auto &Daemon : Daemons)
    Daemon->kill();
  double PromotedAt = Group.promotedAt();
  std::set<std::string> Before = Writers.answeredBefore(PromotedAt);
  std::set<std::string> After = Writers.answeredFrom(PromotedAt);
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
  record().line(std::to_string(Before.size() + After.size()) +
                " writes answered, " + std::to_string(Lost.size()) + " lost, " +
                std::to_string(Late.size()) + " late; result " +
                std::to_string(Result));
  std::cout << Before.size() + After.size() << " writes, lost " << Lost.size()
            << ", late " << Late.size() << ", promoted " << PromotedAt - CutAt
            << " ms after the cut; result " << Result << std::endl;
  _exit(Result);
}
