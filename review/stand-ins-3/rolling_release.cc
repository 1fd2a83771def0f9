// The instances of a service are replaced within four seconds; all five daemons
// are killed 0.3 s after the primary has announced that it leaves, and started
// again half a second later. Clients of three daemons write all the while.
//
// rolling_release FOLDER; TROUBLE=0: no daemon is killed.
#include "group_under_cut.hh"
#include "writing_clients.hh"

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

/// Time from the announcement of an instance to its end: drainMs and 1 s.
constexpr double LeavingMs = 8000;
constexpr double EndMs = 40000;

} // namespace

int main(int, char **Values) {
  signal(SIGPIPE, SIG_IGN);
  std::string Folder = Values[1];
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
  std::string First = Group.add("ne-hartford", 0ms);
  std::string Second = Group.add("ne-portland", 0ms);
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
  for (std::size_t Number : {0, 2, 4})
    Writers.start(*Daemons[Number], "w" + std::to_string(Number));
  std::this_thread::sleep_for(2s);

  // Steps of the release, each with its time. The new instance starts first.
  std::string Third;
  std::multimap<double, std::function<void()>> Steps;
  auto Leave = [&](double At, std::string &Id) {
    Steps.emplace(At, [&] { Group.setDraining(Id); });
    Steps.emplace(At + LeavingMs, [&] { Group.remove(Id); });
  };
  auto Join = [&](double At, const std::string &Zone) {
    Steps.emplace(At, [&, Zone] { Group.add(Zone, 0ms); });
  };
  Steps.emplace(0, [&] { Third = Group.add("ne-boston", 0ms); });
  Leave(1000, Primary);
  Join(2700, "ne-hartford");
  Leave(3000, First);
  Join(2710, "ne-boston");
  Leave(3200, Third);
  Join(3000, "ne-portland");
  Leave(4000, Second);
  if (HasTrouble) {
    Steps.emplace(1300, [&] {
      record().line("all daemons are killed");
      for (auto &Daemon : Daemons)
        Daemon->kill();
    });
    Steps.emplace(1800, [&] {
      record().line("all daemons are started again");
      for (auto &Daemon : Daemons)
        Daemon->start();
    });
  }
  Steps.emplace(EndMs, [] {});
  double StartedAt = record().now();
  for (const auto &[At, Step] : Steps) {
    while (record().now() < StartedAt + At)
      std::this_thread::sleep_for(5ms);
    Step();
  }
  Writers.stop();
  for (auto &Daemon : Daemons)
    Daemon->kill();

  double PromotedAt = Group.promotedAt();
  std::set<std::string> Before = Writers.answeredBefore(PromotedAt);
  std::vector<std::string> Lost = Group.missing(Before);
  for (const std::string &Text : Lost)
    record().line("LOST: answered before the promotion of " +
                  Group.promotedId() + ", not in its log: " + Text);
  // The release promotes somebody in any case.
  int Result = !CanRun || PromotedAt == 0 ? 2 : Lost.empty() ? 0 : 1;
  record().line(std::to_string(Before.size()) + " writes answered before, " +
                std::to_string(Lost.size()) + " lost; result " +
                std::to_string(Result));
  std::cout << Before.size() << " writes, lost " << Lost.size() << ", promoted "
            << PromotedAt - StartedAt
            << " ms after the start of the release; result " << Result
            << std::endl;
  _exit(Result);
}
