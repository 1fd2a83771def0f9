#include "fairness_scenario.h"

#include "event_queue.h"

#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <variant>

namespace radishrelay::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t AccountCount = 8;
constexpr double MeanServiceUs = 2000;
constexpr base::duration RunTime = 60s;
constexpr base::duration RequestTimeout = 500ms;

class simulation {
public:
  explicit simulation(const fairness_settings &Settings)
      : Settings(Settings), Random(Settings.Seed), Offered(AccountCount),
        Served(AccountCount) {
    Queue.setConcurrency(Settings.Deployment.Slots);
  }

  fairness_result run() {
    for (std::size_t Account = 0; Account < AccountCount; ++Account)
      scheduleArrival(Account);
    Events.runUntil(base::time_point() + RunTime);
    return evaluate();
  }

private:
  /// Requests per microsecond that the instance can serve.
  [[nodiscard]] double capacity() const {
    return static_cast<double>(Settings.Deployment.Slots) / MeanServiceUs;
  }

  void scheduleArrival(std::size_t Account) {
    double Rate = capacity() * Settings.Load / AccountCount;
    if (Account == 0)
      Rate *= Settings.Excess;
    base::duration Gap(std::llround(Random.exponential(1 / Rate)));
    Events.schedule(Events.now() + Gap, [=, this] {
      arrive(Account);
      scheduleArrival(Account);
    });
  }

  void arrive(std::size_t Account) {
    ++Offered[Account];
    groups::queued_request Request;
    Request.Id = ++LastId;
    Request.Account = base::account_id(std::to_string(Account));
    Request.Cost = base::duration(std::llround(MeanServiceUs));
    Request.Deadline = Events.now() + RequestTimeout;
    if (Settings.IsFair)
      Queue.push(Request, Events.now());
    else
      Fifo.push_back(Request);
    startNext();
  }

  std::optional<groups::queued_request> takeNext() {
    if (Settings.IsFair) {
      Queue.takeExpired(Events.now());
      return Queue.pop(Events.now());
    }
    while (!Fifo.empty()) {
      groups::queued_request Request = Fifo.front();
      Fifo.pop_front();
      if (Events.now() < Request.Deadline)
        return Request;
    }
    return std::nullopt;
  }

  void startNext() {
    if (Running >= Settings.Deployment.Slots)
      return;
    std::optional<groups::queued_request> Request = takeNext();
    if (!Request)
      return;
    ++Running;
    // The queue knows the mean cost only.
    base::duration Service(std::llround(Random.exponential(MeanServiceUs)));
    Events.schedule(Events.now() + Service, [this, Request] {
      --Running;
      if (Events.now() <= Request->Deadline)
        ++Served[std::stoul(Request->Account.str())];
      startNext();
    });
  }

  /// Max-min fair share of an account in requests, by filling all accounts
  /// equally until each has what it offered or the capacity is used up.
  [[nodiscard]] double fairShareLevel() const {
    double Capacity = capacity() * static_cast<double>(RunTime.count());
    std::vector<std::uint64_t> Sorted = Offered;
    std::sort(Sorted.begin(), Sorted.end());
    std::size_t Left = Sorted.size();
    for (std::uint64_t Demand : Sorted) {
      double Level = Capacity / static_cast<double>(Left);
      if (static_cast<double>(Demand) > Level)
        return Level;
      Capacity -= static_cast<double>(Demand);
      --Left;
    }
    return static_cast<double>(Sorted.back());
  }

  [[nodiscard]] fairness_result evaluate() const {
    fairness_result Result;
    double Level = fairShareLevel();
    for (std::size_t Account = 0; Account < AccountCount; ++Account) {
      double Fair = std::min(Level, static_cast<double>(Offered[Account]));
      double Share = static_cast<double>(Served[Account]) / Fair;
      Result.Served += Served[Account];
      if (Account == 0) {
        Result.ExcessShare = Share;
        continue;
      }
      Result.WorstShare = std::min(Result.WorstShare, Share);
      Result.Unserved += Offered[Account] - Served[Account];
    }
    return Result;
  }

  fairness_settings Settings;
  event_queue Events;
  base::random_generator Random;
  groups::fair_queue Queue;
  std::deque<groups::queued_request> Fifo;
  std::vector<std::uint64_t> Offered;
  std::vector<std::uint64_t> Served;
  std::size_t Running = 0;
  std::uint64_t LastId = 0;
};

} // namespace

fairness_result runFairness(const fairness_settings &Settings) {
  return simulation(Settings).run();
}

} // namespace radishrelay::bench
