// A primary is partitioned from its replicas and from two of four daemons
// while one replica receives nothing. The other replica is promoted. The third
// daemon proves the old primary once more with the replica that has not heard
// of the promotion, and reads from it what is out of date.
#include "replicated.hh"

using namespace review2;

namespace {

/// The replica receives again this long after the promotion; in all it receives
/// nothing for less than 7 s.
constexpr auto DeafAfterPromotion = 500ms;
constexpr auto TrafficBefore = 3s;
constexpr auto TrafficAfter = 3s;

/// Items whose writes were acknowledged to their clients.
class acknowledged_items {
public:
  void add(const std::string &Item) {
    std::lock_guard Lock(Mutex);
    Last = Item;
  }
  std::string last() {
    std::lock_guard Lock(Mutex);
    return Last;
  }

private:
  std::mutex Mutex;
  std::string Last;
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

  acknowledged_items Items;
  std::atomic<bool> IsStopping{false};
  std::atomic<int> Written{0};
  std::atomic<int> Read{0};
  std::atomic<int> Stale{0};
  std::vector<std::thread> Threads;
  auto Run = [&](const std::string &Name, std::size_t Daemon, auto Operate) {
    Threads.emplace_back([&, Name, Daemon, Operate] {
      client Client(Name, Record);
      bool IsOpen = false;
      while (!IsStopping) {
        if (!IsOpen)
          IsOpen = Client.start(*Deployment.Daemons[Daemon], "filing1",
                                "k-installers");
        IsOpen = IsOpen && Operate(Client) == 'I';
        std::this_thread::sleep_for(20ms);
      }
    });
  };
  for (std::size_t Index = 0; Index < 12; ++Index)
    Run("writer " + std::to_string(Index + 1), 1 + Index % 2,
        [&](client &Client) {
          std::string Id = client::nextId();
          answer Answer = Client.query(Id, "WRITE " + Id + " x", 3s);
          if (Answer.isSuccess()) {
            Items.add(Id);
            ++Written;
          }
          return Answer.State;
        });
  for (std::size_t Index = 0; Index < 4; ++Index)
    Run("reader " + std::to_string(Index + 1), Index % 2 * 3,
        [&](client &Client) {
          std::string Item = Items.last();
          if (Item.empty())
            return 'I';
          std::string Id = client::nextId();
          answer Answer = Client.query(Id, "READ " + Item, 3s);
          if (!Answer.isSuccess())
            return Answer.State;
          ++Read;
          if (Answer.Rows.empty() || Answer.Rows.front().empty()) {
            ++Stale;
            Record.add("script", "STALE: read " + Id +
                                     " lacks the write of item " + Item +
                                     ", acknowledged before it was sent");
          }
          return Answer.State;
        });
  std::this_thread::sleep_for(TrafficBefore);
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
    std::this_thread::sleep_for(DeafAfterPromotion);
    Record.add("script", "the third instance receives again");
    Database.change([](auto &Instances) { Instances[2].IsDeaf = false; });
  }
  std::this_thread::sleep_for(TrafficAfter);
  IsStopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Deployment.stop();
  Record.add("script", "writes acknowledged: " + std::to_string(Written) +
                           ", reads answered: " + std::to_string(Read) +
                           ", of these stale: " + std::to_string(Stale));
  bool HasRun = Written > 20 && Read > 20 &&
                (!hasTrouble() || Database.promotedAt().has_value());
  return !HasRun     ? verdict::NotRun
         : Stale > 0 ? verdict::Broken
                     : verdict::Held;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, play);
}
