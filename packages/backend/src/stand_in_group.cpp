#include "radishrelay/backend/stand_in_group.h"

#include "stand_in_loop.h"

#include <pthread.h>

#include <stdexcept>
#include <thread>

namespace radishrelay::backend {

struct stand_in_group::state {
  explicit state(const stand_in_options &Options)
      : Loop(Options), Thread([this] { Loop.run(); }) {
    pthread_setname_np(Thread.native_handle(), "stand-in");
  }

  /// Runs \p Function with the instance on the group's thread and returns its
  /// result.
  template <typename Callable> auto call(std::size_t Index, Callable Function) {
    using result = std::invoke_result_t<Callable, detail::stand_in_instance &>;
    std::packaged_task<result()> Task(
        [&, this] { return Function(Loop.instance(Index)); });
    std::future<result> Answer = Task.get_future();
    Loop.post([&Task] { Task(); });
    return Answer.get();
  }

  detail::stand_in_loop Loop;
  std::thread Thread;
};

using detail::stand_in_instance;

stand_in_group::stand_in_group(const stand_in_options &Options)
    : State(std::make_unique<state>(Options)) {}

stand_in_group::~stand_in_group() {
  State->Loop.stop();
  State->Thread.join();
}

std::size_t stand_in_group::size() const { return State->Loop.size(); }

std::string stand_in_group::address(std::size_t Instance) const {
  return State->Loop.instance(Instance).Port.address();
}

void stand_in_group::kill(std::size_t Instance) {
  State->call(Instance, [](stand_in_instance &I) { I.kill(); });
}

void stand_in_group::revive(std::size_t Instance) {
  State->call(Instance, [](stand_in_instance &I) { I.revive(); });
}

void stand_in_group::setCut(std::size_t Instance, bool IsCut) {
  State->call(Instance, [&](stand_in_instance &I) { I.IsCut = IsCut; });
}

void stand_in_group::silence(std::size_t Instance) {
  State->call(Instance, [](stand_in_instance &I) { I.silence(); });
}

void stand_in_group::delayAnswers(std::size_t Instance, base::duration Delay) {
  State->call(Instance,
              [&](stand_in_instance &I) { I.Context.AnswerDelay = Delay; });
}

void stand_in_group::loseNextCommitAnswer(std::size_t Instance) {
  State->call(Instance, [](stand_in_instance &I) {
    I.Context.LosesNextCommitAnswer = true;
  });
}

void stand_in_group::setLag(std::size_t Instance, base::duration Lag) {
  State->call(Instance, [&](stand_in_instance &I) { I.Lag = Lag; });
}

void stand_in_group::setServiceTime(std::size_t Instance, base::duration Time) {
  State->call(Instance,
              [&](stand_in_instance &I) { I.Context.ServiceTime = Time; });
}

std::vector<stand_in_report> stand_in_group::reports() const {
  return State->call(
      0, [this](stand_in_instance &) { return State->Loop.reports(); });
}

std::string stand_in_group::recordedBytes(std::size_t Instance) const {
  return State->call(Instance, [](stand_in_instance &I) { return I.Record; });
}

result_set stand_in_group::query(std::size_t Instance,
                                 const statement &Query) const {
  auto Result = State->call(Instance, [&](stand_in_instance &I) {
    return I.Context.Store.committed().run(Query);
  });
  if (!Result)
    throw std::invalid_argument(Result.error().Message);
  return std::move(*Result);
}

bool stand_in_group::waitUntil(report_predicate Predicate,
                               base::time_point Deadline) const {
  return State->Loop.waitUntil(std::move(Predicate), Deadline);
}

} // namespace radishrelay::backend
