#ifndef RADISHRELAY_CLI_SRC_LOAD_RUNNER_H
#define RADISHRELAY_CLI_SRC_LOAD_RUNNER_H

#include "arrival_generator.h"
#include "load_account.h"
#include "request_record.h"
#include "route_client.h"
#include "session_book.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace radishrelay::cli {

/// Parameters of a load_runner.
struct runner_options {
  arrival_options Arrivals;
  std::vector<load_account> Accounts;
  std::size_t Workers = 1;
  /// Start of all ids, so that runs against the same rows differ.
  std::string IdPrefix;
};

/// Makes the client of one worker.
using client_factory = std::function<std::unique_ptr<route_client>()>;

/// Sends the arrivals from a fixed number of workers. A worker takes the next
/// arrival and sends it at its intended start, or at once when that has passed
/// because all workers waited for answers; the latency counts from the intended
/// start in both cases.
class load_runner {
public:
  load_runner(runner_options Options, client_factory MakeClient);
  ~load_runner();
  load_runner(const load_runner &) = delete;
  load_runner &operator=(const load_runner &) = delete;

  void start();
  /// Waits for all answers and returns the records in the order of arrivals.
  std::vector<request_record> finish();

  [[nodiscard]] base::time_point startedAt() const { return StartedAt; }
  [[nodiscard]] std::uint64_t answered() const { return Answered; }
  [[nodiscard]] std::uint64_t failed() const { return Failed; }

private:
  void work(std::size_t Worker);
  std::optional<planned_request> takeNext();
  request_record send(route_client &Client, const planned_request &Plan);
  /// Calls, and repeats on other hosts after a refused connection and for a
  /// keyed write with an unknown outcome.
  route_answer callRepeatedly(route_client &Client, route_call Call) const;

  runner_options Options;
  client_factory MakeClient;
  session_book Sessions;
  std::mutex ArrivalsMutex;
  arrival_generator Arrivals;
  base::time_point StartedAt;
  std::atomic<std::uint64_t> Answered = 0;
  std::atomic<std::uint64_t> Failed = 0;
  std::vector<std::vector<request_record>> Records;
  std::vector<std::unique_ptr<route_client>> Clients;
  std::vector<std::thread> Threads;
};

} // namespace radishrelay::cli

#endif
