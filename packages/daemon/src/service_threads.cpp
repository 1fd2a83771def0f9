#include "radishrelay/daemon/service_threads.h"

namespace radishrelay::daemon {

namespace {

/// How long a call for the configuration may wait for a change. A connection
/// that has gone silent hides a change for as long, which with the pause before
/// the next call has to stay below the 4 s that a host has to recover in.
constexpr base::duration CatalogWait = std::chrono::milliseconds(3400);
constexpr base::duration CatalogRetry = std::chrono::milliseconds(200);
/// Instances are read this often: a leaving one must be known well before the
/// 7 s in which it may still get work have passed.
constexpr base::duration InstancesInterval = std::chrono::milliseconds(2000);
constexpr base::duration InstancesRetry = std::chrono::milliseconds(400);
constexpr base::duration InstancesTimeout = std::chrono::milliseconds(1000);
constexpr base::duration TableTimeout = std::chrono::milliseconds(1000);
constexpr base::duration PromotionTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxWaitingCalls = 256;
/// Bounds how long a stop waits for an idle thread.
constexpr base::duration StopCheck = std::chrono::milliseconds(500);

base::time_point in(base::duration Time) {
  return base::monotonic_clock::now() + Time;
}

} // namespace

service_threads::service_threads(sessions::fleet_services NewServices,
                                 event_loop &Loop, service_events Events)
    : Services(std::move(NewServices)), Loop(Loop), Events(std::move(Events)),
      TableCalls(MaxWaitingCalls), PromotionCalls(MaxWaitingCalls) {
  Threads.emplace_back([this] { followCatalog(); });
  Threads.emplace_back([this] { followInstances(); });
  Threads.emplace_back([this] { runTableCalls(); });
  Threads.emplace_back([this] { runPromotions(); });
}

service_threads::~service_threads() {
  IsStopping = true;
  TableCalls.close();
  PromotionCalls.close();
  for (std::thread &Thread : Threads)
    Thread.join();
}

bool service_threads::execute(sessions::store_call_number Call,
                              base::store_request Request) {
  return TableCalls.tryPush({Call, std::move(Request)});
}

bool service_threads::promote(sessions::store_call_number Call,
                              base::group_id Group, base::instance_id Instance,
                              base::host_id Holder, std::uint64_t Generation) {
  return PromotionCalls.tryPush({Call, std::move(Group), std::move(Instance),
                                 std::move(Holder), Generation,
                                 in(PromotionTimeout)});
}

void service_threads::pause(base::duration Time) {
  base::time_point End = in(Time);
  while (!IsStopping && base::monotonic_clock::now() < End) {
    base::duration Left = End - base::monotonic_clock::now();
    std::this_thread::sleep_for(std::min(Left, StopCheck));
  }
}

void service_threads::report(std::string_view Service, bool &WasLost,
                             const base::failure &Failure) {
  bool IsLost = static_cast<bool>(Failure);
  if (IsLost == WasLost)
    return;
  WasLost = IsLost;
  Loop.post([this, Service, Failure] { Events.Dependency(Service, Failure); });
}

void service_threads::followCatalog() {
  bool IsLost = false;
  while (!IsStopping) {
    auto Catalog = Services.Catalog->next(in(CatalogWait));
    report("configuration", IsLost,
           Catalog ? base::failure{} : Catalog.error());
    if (!Catalog)
      pause(CatalogRetry);
    else if (*Catalog)
      Loop.post([this, New = *Catalog] { Events.Catalog(New); });
  }
}

void service_threads::followInstances() {
  bool IsLost = false;
  while (!IsStopping) {
    auto List = Services.Instances->read(in(InstancesTimeout));
    bool IsRead = List.hasValue();
    report("instances", IsLost, IsRead ? base::failure{} : List.error());
    Loop.post([this, List = std::move(List)] { Events.Instances(List); });
    pause(IsRead ? InstancesInterval : InstancesRetry);
  }
}

void service_threads::runTableCalls() {
  bool IsLost = false;
  while (!IsStopping) {
    std::optional<table_call> Call = TableCalls.popUntil(in(StopCheck));
    if (!Call)
      continue;
    base::store_answer Answer =
        Services.Tables->execute(Call->Request, in(TableTimeout));
    report("tables", IsLost, Answer.Failure);
    Loop.post([this, Number = Call->Number, Answer = std::move(Answer)] {
      Events.Answer(Number, Answer);
    });
  }
}

void service_threads::runPromotions() {
  bool IsLost = false;
  while (!IsStopping) {
    std::optional<promotion_call> Call = PromotionCalls.popUntil(in(StopCheck));
    if (!Call)
      continue;
    // An order whose deadline has passed may no longer be this host's to give.
    if (base::monotonic_clock::now() >= Call->Deadline)
      continue;
    base::failure Failure =
        Services.Promotions->promote(Call->Group, Call->Instance, Call->Holder,
                                     Call->Generation, Call->Deadline);
    report("promotions", IsLost, Failure);
    Loop.post([this, Number = Call->Number, Accepted = !Failure] {
      Events.Promotion(Number, Accepted);
    });
  }
}

} // namespace radishrelay::daemon
