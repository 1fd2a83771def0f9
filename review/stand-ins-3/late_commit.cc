// A primary is cut off from three of five daemons. A client of a daemon that
// still reaches it commits its transaction after the promotion of another
// instance. The service has no syncReplicas.
//
// late_commit FOLDER. TROUBLE=0: no cut.
#include "group_under_cut.hh"

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

int main(int, char **Values) {
  signal(SIGPIPE, SIG_IGN);
  bool HasTrouble = !getenv("TROUBLE") || std::string(getenv("TROUBLE")) != "0";
  record().open("record.txt");
  if (chdir(getenv("RADISHRELAY_ROOT")) != 0)
    return 2;
  store Store;
  Store.start();
  group_under_cut Group("huvo11a", Store, 5);
  Group.SyncReplicas = 0;
  duty_service Duties;
  Duties.start(
      {{"huvo11a", [&](const std::string &Id) { return Group.promote(Id); }}});
  Store.put("op", "config", configuration("huvo11a", 7, 0));
  std::string Primary = Group.add("ne-boston", 0ms);
  Group.add("ne-hartford", 0ms);
  Group.add("ne-portland", 0ms);
  std::vector<std::unique_ptr<daemon_process>> Daemons;
  std::vector<std::pair<std::string, std::string>> Names{
      {"front-ne-boston-1", "ne-boston"},
      {"front-ne-boston-2", "ne-boston"},
      {"front-ne-hartford-1", "ne-hartford"},
      {"front-ne-hartford-2", "ne-hartford"},
      {"front-ne-portland-1", "ne-portland"}};
  for (const auto &[Name, Zone] : Names) {
    Daemons.push_back(std::make_unique<daemon_process>(
        Name, Zone, Values[1], Store.startFront(), Duties.address()));
    Daemons.back()->start();
  }
  bool CanRun = false;
  for (auto &Daemon : Daemons) {
    CanRun = false;
    for (int Try = 0; Try < 150 && !CanRun; ++Try) {
      client Client;
      CanRun = Client.start(Daemon->front(), "filing", "key1") &&
               Client.ask("WRITE 1a4 first").rfind("COMPLETE r", 0) == 0;
      std::this_thread::sleep_for(200ms);
    }
  }
  client Client;
  CanRun = CanRun && Client.start(Daemons[2]->front(), "filing", "key1");
  auto Ask = [&](const std::string &Text) {
    record().line(Names[2].first + " < " + Text);
    std::string Outcome = Client.ask(Text);
    record().line(Names[2].first + " > " + Text + ": " + Outcome);
    return Outcome;
  };
  Ask("BEGIN");
  Ask("WRITE 1a4 in-transaction");
  if (HasTrouble) {
    record().line("the primary " + Primary + " is cut off from " +
                  Names[0].first + ", " + Names[1].first + " and " +
                  Names[4].first);
    for (std::size_t Daemon : {0, 1, 4})
      Group.setCut(Daemon, Primary, true);
  }
  double Until = record().now() + 6000;
  while (record().now() < Until && Group.promotedAt() == 0) {
    Ask("READ 1a4");
    std::this_thread::sleep_for(200ms);
  }
  std::this_thread::sleep_for(200ms);
  std::string Outcome = Ask("COMMIT");
  std::this_thread::sleep_for(2s);
  for (auto &Daemon : Daemons)
    Daemon->kill();
  bool IsLate = Group.committedLate().contains("WRITE 1a4 in-transaction");
  bool IsAnswered = Outcome.rfind("COMPLETE r", 0) == 0;
  bool IsBroken = IsLate && IsAnswered;
  if (IsBroken)
    record().line("ONE: committed at the old primary after the promotion of " +
                  Group.promotedId() + ", and answered");
  int Result = !CanRun ? 2 : IsBroken ? 1 : 0;
  record().line("result " + std::to_string(Result));
  std::cout << Outcome << ", late " << IsLate << "; result " << Result
            << std::endl;
  _exit(Result);
}
