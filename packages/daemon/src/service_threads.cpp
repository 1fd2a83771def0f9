#include "radishrelay/daemon/service_threads.h"

#include "radishrelay/base/log.h"

#include <algorithm>

namespace radishrelay::daemon {

namespace {

/// A read must be answered within its allowed wait for a change plus this time.
/// A connection that no longer responds delays a change by as much.
constexpr base::duration ReadTimeout = std::chrono::milliseconds(500);
constexpr base::duration TableTimeout = std::chrono::milliseconds(1000);
constexpr base::duration PromotionTimeout = std::chrono::milliseconds(500);
constexpr std::size_t MaxWaitingCalls = 256;
/// The engine has at most one read of each source in progress.
constexpr std::size_t MaxWaitingReads = 2;
/// Interval at which an idle thread checks whether it must stop.
constexpr base::duration StopCheckInterval = std::chrono::milliseconds(500);

base::time_point deadlineAfter(base::duration Time) {
  return base::monotonic_clock::now() + Time;
}

std::int64_t milliseconds(base::duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

service_threads::service_threads(sessions::fleet_services NewServices,
                                 event_loop &Loop, service_events NewEvents)
    : Services(std::move(NewServices)), Loop(Loop),
      Events(std::move(NewEvents)), CatalogReads(MaxWaitingReads),
      InstanceReads(MaxWaitingReads), TableCalls(MaxWaitingCalls),
      PromotionCalls(MaxWaitingCalls) {
  Threads.emplace_back([this] {
    runReads("configuration", CatalogReads, *Services.Catalog, Events.Catalog);
  });
  Threads.emplace_back([this] {
    runReads("instances", InstanceReads, *Services.Instances, Events.Instances);
  });
  Threads.emplace_back([this] { runTableCalls(); });
  Threads.emplace_back([this] { runPromotions(); });
}

service_threads::~service_threads() {
  IsStopping = true;
  CatalogReads.close();
  InstanceReads.close();
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
                              base::host_id Holder, std::uint64_t Generation,
                              base::time_point Deadline) {
  return PromotionCalls.tryPush(
      {Call, std::move(Group), std::move(Instance), std::move(Holder),
       Generation, std::min(Deadline, deadlineAfter(PromotionTimeout))});
}

void service_threads::reportDependency(std::string_view Service, bool &WasLost,
                                       const base::failure &Failure) {
  bool IsLost = static_cast<bool>(Failure);
  if (IsLost == WasLost)
    return;
  WasLost = IsLost;
  Loop.post([this, Service, Failure] { Events.Dependency(Service, Failure); });
}

void service_threads::readCatalog(base::duration Wait) {
  CatalogReads.tryPush(base::duration(Wait));
}

void service_threads::readInstances(base::duration Wait) {
  InstanceReads.tryPush(base::duration(Wait));
}

template <typename Source, typename Handler>
void service_threads::runReads(std::string_view Service,
                               base::bounded_ring<base::duration> &Reads,
                               Source &From, const Handler &Deliver) {
  bool IsLost = false;
  while (!IsStopping) {
    std::optional<base::duration> Wait =
        Reads.popUntil(deadlineAfter(StopCheckInterval));
    if (!Wait)
      continue;
    sessions::read_times Times{base::monotonic_clock::now(), *Wait};
    auto Reading = From.next(*Wait, deadlineAfter(*Wait + ReadTimeout));
    reportDependency(Service, IsLost,
                     Reading ? base::failure{} : Reading.error());
    Loop.post([&Deliver, Times, Reading = std::move(Reading)] {
      Deliver(Reading, Times);
    });
  }
}

void service_threads::runTableCalls() {
  bool IsLost = false;
  while (!IsStopping) {
    std::optional<table_call> Call =
        TableCalls.popUntil(deadlineAfter(StopCheckInterval));
    if (!Call)
      continue;
    base::store_answer Answer =
        Services.Tables->execute(Call->Request, deadlineAfter(TableTimeout));
    reportDependency("tables", IsLost, Answer.Failure);
    Loop.post([this, Number = Call->Number, Answer = std::move(Answer)] {
      Events.Answer(Number, Answer);
    });
  }
}

base::json service_threads::orderFields(const promotion_call &Call) {
  base::json Fields = base::json::object();
  Fields["group"] = Call.Group.str();
  Fields["instance"] = Call.Instance.str();
  Fields["generation"] = Call.Generation;
  Fields["left_ms"] =
      milliseconds(Call.Deadline - base::monotonic_clock::now());
  return Fields;
}

void service_threads::runPromotions() {
  bool IsLost = false;
  while (!IsStopping) {
    std::optional<promotion_call> Call =
        PromotionCalls.popUntil(deadlineAfter(StopCheckInterval));
    if (!Call)
      continue;
    base::time_point SentAt = base::monotonic_clock::now();
    // After the deadline this host may no longer be entitled to order the
    // promotion.
    if (SentAt >= Call->Deadline) {
      base::logEvent(base::log_level::Warning, "promotion order not sent",
                     orderFields(*Call));
      Loop.post([this, Number = Call->Number] {
        Events.Promotion(Number, sessions::order_outcome::NotDone);
      });
      continue;
    }
    base::logEvent(base::log_level::Info, "promotion order sent",
                   orderFields(*Call));
    sessions::order_result Result =
        Services.Promotions->promote(Call->Group, Call->Instance, Call->Holder,
                                     Call->Generation, Call->Deadline);
    base::json Fields = orderFields(*Call);
    Fields["answer_ms"] = milliseconds(base::monotonic_clock::now() - SentAt);
    const base::failure &Failure = Result.Failure;
    if (Failure)
      Fields.update(base::logFields(Failure));
    base::logEvent(Failure ? base::log_level::Warning : base::log_level::Info,
                   Failure ? "promotion order failed"
                           : "promotion order accepted",
                   Fields);
    reportDependency("promotions", IsLost, Failure);
    Loop.post([this, Number = Call->Number, Outcome = Result.Outcome] {
      Events.Promotion(Number, Outcome);
    });
  }
}

} // namespace radishrelay::daemon
