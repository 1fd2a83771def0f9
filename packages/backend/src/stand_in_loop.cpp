#include "stand_in_loop.h"

#include <stdexcept>

namespace radishrelay::backend::detail {

namespace {

using optional_time = std::optional<base::time_point>;

void keepEarlier(optional_time &Time, const optional_time &Other) {
  if (Other && (!Time || *Other < *Time))
    Time = Other;
}

} // namespace

stand_in_loop::stand_in_loop(const stand_in_options &Options) {
  for (std::size_t Index = 0; Index < Options.Instances; ++Index)
    Instances.push_back(
        std::make_unique<stand_in_instance>(Options, Index, Poller));
  load(Options.Schema);
}

void stand_in_loop::load(const std::vector<statement> &Schema) {
  base::time_point Now = base::monotonic_clock::now();
  for (auto &Instance : Instances) {
    instance_store &Store = Instance->Context.Store;
    for (const statement &Statement : Schema)
      Store.Log.append({{Statement}, Now - Instance->Lag});
    Store.committed();
    if (Store.failedApplies() > 0)
      throw std::invalid_argument("a schema statement failed");
  }
}

void stand_in_loop::run() {
  while (!IsStopped) {
    auto Ready = Poller.wait(wakeAt());
    base::time_point Now = base::monotonic_clock::now();
    // Before the events, so that a status is as recent as its query.
    replicate(Now);
    runTasks();
    for (const epoll_event &Event : Ready)
      instance(stand_in_instance::indexOfKey(Event.data.u64))
          .onReady(Event, Now);
    for (auto &Instance : Instances)
      Instance->proceed(Now);
    replicate(Now);
    answerWaiters(Now);
  }
  runTasks();
}

void stand_in_loop::stop() {
  IsStopped = true;
  Poller.wake();
}

void stand_in_loop::post(task Task) {
  {
    std::lock_guard Guard(Mutex);
    Tasks.push_back(std::move(Task));
  }
  Poller.wake();
}

void stand_in_loop::runTasks() {
  std::vector<task> Current;
  {
    std::lock_guard Guard(Mutex);
    Current.swap(Tasks);
  }
  for (task &Task : Current)
    Task();
}

const stand_in_instance *
stand_in_loop::primaryFor(const stand_in_instance &Follower) const {
  const stand_in_instance *Best = nullptr;
  for (const auto &Candidate : Instances) {
    if (Candidate.get() == &Follower || !Candidate->isReachable())
      continue;
    const replicated_log &Log = Candidate->Context.Store.Log;
    if (!Follower.Context.Store.Log.accepts(Log))
      continue;
    bool IsNewer =
        !Best || Log.position().Term > Best->Context.Store.Log.position().Term;
    if (IsNewer)
      Best = Candidate.get();
  }
  return Best;
}

void stand_in_loop::replicate(base::time_point Now) {
  NextReplication.reset();
  for (auto &Follower : Instances) {
    if (!Follower->isReachable())
      continue;
    const stand_in_instance *Primary = primaryFor(*Follower);
    if (!Primary)
      continue;
    Follower->follow(*Primary, Now);
    optional_time Next =
        Follower->Context.Store.Log.nextCommit(Primary->Context.Store.Log);
    if (Next)
      keepEarlier(NextReplication, *Next + Follower->Lag);
  }
}

std::vector<stand_in_report> stand_in_loop::reports() const {
  base::time_point Now = base::monotonic_clock::now();
  std::vector<stand_in_report> Reports;
  for (const auto &Instance : Instances)
    Reports.push_back(Instance->report(Now));
  return Reports;
}

bool stand_in_loop::waitUntil(stand_in_group::report_predicate Predicate,
                              base::time_point Deadline) {
  std::promise<bool> Promise;
  std::future<bool> Answer = Promise.get_future();
  post([&] {
    Waiters.push_back({std::move(Predicate), Deadline, std::move(Promise)});
  });
  return Answer.get();
}

void stand_in_loop::answerWaiters(base::time_point Now) {
  if (Waiters.empty())
    return;
  std::vector<stand_in_report> Current = reports();
  for (auto Place = Waiters.begin(); Place != Waiters.end();) {
    bool Holds = Place->Predicate(Current);
    if (!Holds && Now < Place->Deadline) {
      ++Place;
      continue;
    }
    Place->Answer.set_value(Holds);
    Place = Waiters.erase(Place);
  }
}

optional_time stand_in_loop::wakeAt() const {
  optional_time Next = NextReplication;
  for (const auto &Instance : Instances)
    keepEarlier(Next, Instance->wakeAt());
  for (const waiter &Waiter : Waiters)
    keepEarlier(Next, Waiter.Deadline);
  return Next;
}

} // namespace radishrelay::backend::detail
