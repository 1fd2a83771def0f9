#ifndef RADISHRELAY_BACKEND_TESTS_BACKEND_CLIENT_H
#define RADISHRELAY_BACKEND_TESTS_BACKEND_CLIENT_H

#include "radishrelay/backend/backend_thread.h"
#include "radishrelay/base/bounded_ring.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <list>

namespace radishrelay::backend::tests {

/// Bound of all waits that are expected to succeed. It only has to exceed the
/// time that a busy machine needs.
inline base::time_point farDeadline() {
  return base::monotonic_clock::now() + std::chrono::seconds(60);
}

/// For runs that are expected to time out; far enough that a busy machine has
/// sent them by then.
inline base::time_point nearDeadline() {
  return base::monotonic_clock::now() + std::chrono::seconds(1);
}

/// Plays the decision thread: sends commands and waits for their events.
class backend_client {
public:
  /// Starts to open a connection.
  connection_id startOpen(const std::string &Address,
                          base::time_point Deadline = farDeadline()) {
    connection_id Id = ++LastConnection;
    submit(open_connection{Id, Address, "records", Deadline});
    return Id;
  }

  connection_id open(const std::string &Address) {
    connection_id Id = startOpen(Address);
    BOOST_REQUIRE_EQUAL(awaitEvent<connection_opened>().Connection, Id);
    return Id;
  }

  run_id startRun(connection_id Connection, std::vector<statement> Statements,
                  base::time_point Deadline = farDeadline()) {
    run_id Id = ++LastRun;
    submit(run_statements{Connection, Id, std::move(Statements), Deadline});
    return Id;
  }

  run_finished run(connection_id Connection, std::vector<statement> Statements,
                   base::time_point Deadline = farDeadline()) {
    run_id Id = startRun(Connection, std::move(Statements), Deadline);
    auto Finished = awaitEvent<run_finished>();
    BOOST_REQUIRE_EQUAL(Finished.Run, Id);
    return Finished;
  }

  /// Runs statements that must succeed.
  std::vector<result_set> expectRun(connection_id Connection,
                                    std::vector<statement> Statements) {
    run_finished Finished = run(Connection, std::move(Statements));
    BOOST_REQUIRE_MESSAGE(!Finished.Failure, Finished.Failure);
    return std::move(Finished.Results);
  }

  void close(connection_id Connection) { submit(close_connection{Connection}); }

  /// Returns the next event of the type; others are kept.
  template <typename Event> Event awaitEvent() {
    for (auto Place = Kept.begin(); Place != Kept.end(); ++Place)
      if (auto *Found = std::get_if<Event>(&*Place)) {
        Event Result = std::move(*Found);
        Kept.erase(Place);
        return Result;
      }
    while (auto Next = Events.popUntil(farDeadline())) {
      if (auto *Found = std::get_if<Event>(&*Next))
        return std::move(*Found);
      Kept.push_back(std::move(*Next));
    }
    BOOST_FAIL("no such event");
    return {};
  }

  /// Stops the thread and returns the number of events nobody waited for.
  std::size_t stop() {
    Thread.stop();
    return Kept.size() + Events.size();
  }

private:
  static constexpr std::size_t EventCapacity = 4096;

  void submit(backend_command &&Command) {
    bool IsTaken = Thread.submit(std::move(Command));
    BOOST_REQUIRE(IsTaken);
  }

  connection_id LastConnection = 0;
  run_id LastRun = 0;
  std::list<backend_event> Kept;
  base::bounded_ring<backend_event> Events{EventCapacity};
  backend_thread Thread{backend_thread_options{},
                        [this](backend_event &&Event) {
                          Events.pushUntil(std::move(Event), farDeadline());
                        }};
};

} // namespace radishrelay::backend::tests

#endif
