#include "radishrelay/groups/fair_queue.h"

#include <algorithm>
#include <utility>

namespace radishrelay::groups {

fair_queue::fair_queue(fair_queue_options Options) : Options(Options) {}

fair_queue::~fair_queue() {
  while (!Ids.empty())
    unlink(*Ids.begin());
}

void fair_queue::setConcurrency(std::size_t Running) {
  Concurrency = std::max<std::size_t>(Running, 1);
}

queue_admission fair_queue::push(const queued_request &Request,
                                 base::time_point Now) {
  auto Item = std::make_unique<detail::queue_item>();
  Item->Request = Request;
  Item->Request.Cost =
      std::clamp(Request.Cost, Options.MinCost, Options.MaxCost);
  base::duration Cost = Item->Request.Cost;
  base::time_point ExpectedStart = Now + estimatedWait(Request.Account, Cost);
  if (Ids.size() >= Options.Capacity || ExpectedStart + Cost > Request.Deadline)
    return refused_by_queue{ExpectedStart};
  if (!Ids.insert(*Item).second)
    return refused_by_queue{ExpectedStart};
  detail::account_queue &Queue = queueOf(Request.Account);
  if (Queue.Items.empty())
    Round.push_back(Queue);
  Queue.Backlog += Cost;
  Queue.Items.push_back(*Item);
  // The containers do not own their items; unlink() deletes them.
  Deadlines.insert(*Item.release());
  return admitted_to_queue{ExpectedStart};
}

std::optional<queued_request> fair_queue::pop(base::time_point Now) {
  collectExpired(Now);
  while (!Round.empty()) {
    detail::account_queue &Queue = Round.front();
    if (!Queue.IsQuantumCredited) {
      Queue.IsQuantumCredited = true;
      Queue.Deficit += Options.Quantum;
    }
    detail::queue_item &Item = Queue.Items.front();
    if (Item.Request.Cost > Queue.Deficit) {
      endTurn(Queue);
      continue;
    }
    Queue.Deficit -= Item.Request.Cost;
    return unlink(Item);
  }
  return std::nullopt;
}

std::vector<queued_request> fair_queue::takeExpired(base::time_point Now) {
  collectExpired(Now);
  return std::exchange(Expired, {});
}

void fair_queue::collectExpired(base::time_point Now) {
  while (!Deadlines.empty() && Deadlines.begin()->Request.Deadline <= Now)
    Expired.push_back(unlink(*Deadlines.begin()));
}

bool fair_queue::remove(std::uint64_t Id) {
  auto Item = Ids.find(Id);
  if (Item == Ids.end())
    return false;
  unlink(*Item);
  return true;
}

base::duration fair_queue::estimatedWait(const base::account_id &Account,
                                         base::duration Cost) const {
  base::duration Own{};
  if (auto Entry = Accounts.find(Account); Entry != Accounts.end())
    Own = Entry->second->Backlog;
  base::duration Ahead = Own;
  for (const detail::account_queue &Queue : Round)
    if (Queue.Account != Account)
      Ahead += std::min(Queue.Backlog, Own + Cost);
  return Ahead / static_cast<std::int64_t>(Concurrency);
}

std::optional<base::time_point> fair_queue::nextDeadline() const {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->Request.Deadline;
}

detail::account_queue &fair_queue::queueOf(const base::account_id &Account) {
  std::unique_ptr<detail::account_queue> &Queue = Accounts[Account];
  if (!Queue) {
    Queue = std::make_unique<detail::account_queue>();
    Queue->Account = Account;
  }
  return *Queue;
}

queued_request fair_queue::unlink(detail::queue_item &Item) {
  std::unique_ptr<detail::queue_item> Owner(&Item);
  detail::account_queue &Queue = queueOf(Item.Request.Account);
  Queue.Items.erase(Queue.Items.iterator_to(Item));
  Queue.Backlog -= Item.Request.Cost;
  Deadlines.erase(Deadlines.iterator_to(Item));
  Ids.erase(Ids.iterator_to(Item));
  if (Queue.Items.empty()) {
    Round.erase(Round.iterator_to(Queue));
    Accounts.erase(Item.Request.Account);
  }
  return std::move(Item.Request);
}

void fair_queue::endTurn(detail::account_queue &Queue) {
  Queue.IsQuantumCredited = false;
  Round.splice(Round.end(), Round, Round.iterator_to(Queue));
}

base::json fair_queue::dump() const {
  base::json Dump = base::json::object();
  Dump["queued"] = Ids.size();
  Dump["concurrency"] = Concurrency;
  Dump["accounts"] = base::json::object();
  for (const auto &[Account, Queue] : Accounts)
    Dump["accounts"][Account.str()] = {{"queued", Queue->Items.size()},
                                       {"backlog_us", Queue->Backlog.count()},
                                       {"deficit_us", Queue->Deficit.count()}};
  return Dump;
}

} // namespace radishrelay::groups
