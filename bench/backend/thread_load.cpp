#include "thread_load.h"

#include "radishrelay/backend/backend_thread.h"
#include "radishrelay/base/bounded_ring.h"

#include <atomic>
#include <stdexcept>

namespace radishrelay::bench {

namespace {

using backend::backend_event;

constexpr std::size_t EventCapacity = 4096;
constexpr auto RunTimeout = std::chrono::seconds(30);

base::time_point deadline() {
  return base::monotonic_clock::now() + RunTimeout;
}

/// Plays the decision thread.
class driver {
public:
  explicit driver(const load &Load) : Load(Load) {}

  measurement run() {
    openAll();
    double BackendBefore = BackendSeconds;
    double CallerBefore = threadSeconds();
    base::time_point Start = base::monotonic_clock::now();
    for (std::size_t Id = 1; Id <= Load.Connections; ++Id)
      submitNext(Id);
    for (std::size_t Ended = 0; Ended < Load.Runs; ++Ended)
      submitNext(await<backend::run_finished>().Connection);
    std::chrono::duration<double> Elapsed =
        base::monotonic_clock::now() - Start;
    measurement Result;
    Result.Statements = Load.Runs * Load.Statements.size();
    Result.ElapsedSeconds = Elapsed.count();
    Result.CallerSeconds = threadSeconds() - CallerBefore;
    Thread.stop();
    Result.ProcessorSeconds = BackendSeconds - BackendBefore;
    return Result;
  }

private:
  void openAll() {
    for (std::size_t Id = 1; Id <= Load.Connections; ++Id)
      Thread.submit(
          backend::open_connection{Id, Load.Address, "bench", deadline()});
    for (std::size_t Id = 1; Id <= Load.Connections; ++Id)
      await<backend::connection_opened>();
  }

  void submitNext(backend::connection_id Connection) {
    if (Submitted == Load.Runs)
      return;
    ++Submitted;
    Thread.submit(backend::run_statements{Connection, Submitted,
                                          Load.Statements, deadline()});
  }

  template <typename Event> Event await() {
    auto Next = Events.popUntil(deadline());
    auto *Found = Next ? std::get_if<Event>(&*Next) : nullptr;
    if (!Found)
      throw std::runtime_error("unexpected event or none");
    if constexpr (std::is_same_v<Event, backend::run_finished>)
      if (Found->Failure)
        throw std::runtime_error(toString(Found->Failure));
    return std::move(*Found);
  }

  void take(backend_event &&Event) {
    // One call per run would itself cost as much as libpq's parsing.
    bool IsRare = !std::holds_alternative<backend::run_finished>(Event) ||
                  ++Finished == Load.Runs;
    if (IsRare)
      BackendSeconds = threadSeconds();
    Events.pushUntil(std::move(Event), deadline());
  }

  const load &Load;
  std::size_t Submitted = 0;
  std::size_t Finished = 0;
  std::atomic<double> BackendSeconds = 0;
  base::bounded_ring<backend_event> Events{EventCapacity};
  backend::backend_thread Thread{
      backend::backend_thread_options{},
      [this](backend_event &&Event) { take(std::move(Event)); }};
};

} // namespace

measurement runThroughThread(const load &Load) { return driver(Load).run(); }

} // namespace radishrelay::bench
