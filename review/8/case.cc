// A primary is partitioned while one replica receives nothing, and the instance
// that is promoted crashes. A daemon that starts again afterwards knows nothing
// of the promotion and takes the old primary into use; what it acknowledges is
// lost when the new primary comes back with its log.
#include "replicated.hh"

using namespace review2;

namespace {

constexpr auto CrashAfterPromotion = 300ms;
constexpr auto CrashLength = 6800ms;
/// Before the crashed instance is back.
constexpr auto PartitionEnd = 2600ms;
constexpr auto Restart = 2500ms;

/// thawSlackMs: writes of a sender on a disrupted link are not counted for so
/// long.
constexpr auto Slack = 300ms;

struct acknowledged_write {
  std::string Item;
  clock::time_point SentAt;
};

verdict play(const std::string &Root, record &Record) {
  std::vector<std::string> ViewIps = {"127.0.0.21", "127.0.0.22", "127.0.0.23",
                                      "127.0.0.24"};
  deployment::options Options;
  Options.Daemons = 4;
  Options.Views = ViewIps;
  auto &Deployment = *new deployment(Root, Options, Record);
  auto &Database =
      *new replicated_database(ViewIps, Deployment.Platform, Record);
  Deployment.Platform.OnPromotion = [&](const std::string &,
                                        const std::string &Id) {
    return Database.promote(Id);
  };
  Deployment.Platform.put(
      "op", "config",
      Deployment.configuration(
          7, json::array({deployment::tenant("installers", {"k-installers"},
                                             2000, 2000)})));
  if (!Deployment.start())
    return verdict::NotRun;
  std::this_thread::sleep_for(12s); // the limits of a new daemon

  std::mutex Mutex;
  std::vector<acknowledged_write> Acknowledged;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0; Index < 8; ++Index)
    Threads.emplace_back([&, Index] {
      client Client("writer " + std::to_string(Index + 1), Record);
      bool IsOpen = false;
      while (!IsStopping) {
        if (!IsOpen)
          IsOpen = Client.start(*Deployment.Daemons[Index % 4], "filing1",
                                "k-installers");
        if (IsOpen) {
          std::string Id = client::nextId();
          auto SentAt = clock::now();
          answer Answer = Client.query(Id, "WRITE " + Id + " x", 3s);
          IsOpen = Answer.State == 'I';
          std::lock_guard Lock(Mutex);
          if (Answer.isSuccess())
            Acknowledged.push_back({Id, SentAt});
        }
        std::this_thread::sleep_for(50ms);
      }
    });
  std::this_thread::sleep_for(2s);
  std::optional<clock::time_point> HealedAt;
  if (hasTrouble()) {
    Record.add("script", "the third instance receives nothing");
    Database.change([](auto &Instances) { Instances[2].IsDeaf = true; });
    std::this_thread::sleep_for(300ms);
    Record.add("script", "the primary is partitioned");
    Database.change([&](auto &Instances) {
      Instances[0].CutViews = {1, 2};
      Database.IsFirstCut = true;
    });
    auto EndAt = clock::now() + 5500ms;
    while (!Database.promotedAt() && clock::now() < EndAt)
      std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(CrashAfterPromotion);
    Record.add("script", "the new primary crashes");
    std::string New = Database.promoted();
    auto SetDown = [&](bool Value) {
      Database.change([&](auto &Instances) {
        for (auto &Instance : Instances)
          if (Instance.Id == New)
            Instance.IsDown = Value;
      });
    };
    SetDown(true);
    auto BackAt = clock::now() + CrashLength;
    std::this_thread::sleep_until(BackAt - PartitionEnd);
    Record.add("script", "the partition and the silence of i-c end");
    Database.change([&](auto &Instances) {
      Instances[0].CutViews.clear();
      Instances[2].IsDeaf = false;
      Database.IsFirstCut = false;
    });
    HealedAt = clock::now();
    std::this_thread::sleep_until(BackAt - Restart);
    process &Daemon = *Deployment.Daemons[1];
    Record.add(Daemon.name(), "is killed");
    Daemon.end(SIGKILL);
    std::this_thread::sleep_for(300ms);
    Daemon.start();
    std::this_thread::sleep_until(BackAt);
    Record.add("script", "the new primary is back");
    SetDown(false);
  }
  std::this_thread::sleep_for(6s);
  IsStopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  std::this_thread::sleep_for(1s);
  std::optional<clock::time_point> PromotedAt = Database.promotedAt();
  std::set<std::string> Kept;
  int Term = 0;
  for (const auto &Instance : Database.instances())
    if (Instance.IsPrimary && Instance.Term > Term) {
      Term = Instance.Term;
      Kept.clear();
      for (const auto &Commit : Instance.Log)
        Kept.insert(Commit.Item);
    }
  Deployment.stop();
  int Lost = 0;
  for (const acknowledged_write &Write : Acknowledged)
    if (!Kept.contains(Write.Item) && HealedAt &&
        Write.SentAt > *HealedAt + Slack) {
      ++Lost;
      Record.add("script",
                 "ONE: write " + Write.Item +
                     " was sent after the promotion, committed at the "
                     "old primary and acknowledged; it is lost");
    }
  Record.add("script",
             "writes acknowledged: " + std::to_string(Acknowledged.size()) +
                 ", lost: " + std::to_string(Lost));
  bool HasRun =
      Acknowledged.size() > 20 && (!hasTrouble() || PromotedAt.has_value());
  return !HasRun ? verdict::NotRun : Lost > 0 ? verdict::Broken : verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
