#ifndef RADISHRELAY_DAEMON_PLATFORM_THREADS_H
#define RADISHRELAY_DAEMON_PLATFORM_THREADS_H

#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/base/listed_host.h"
#include "radishrelay/base/store_answer.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <variant>

namespace radishrelay::daemon {

/// Duties that use the platform, each with its own connection, so that a slow
/// answer to one does not delay the others.
enum class platform_duty { Groups, Limits, Configuration, Hosts };

/// Asks for the platform's list of live and leaving hosts.
struct read_host_list {};

/// A request to the platform.
struct platform_request {
  platform_duty Duty = platform_duty::Groups;
  /// Chosen by the sender.
  std::uint64_t Id = 0;
  std::variant<base::store_request, read_host_list> Request;
  base::time_point Deadline;
};

/// The end of a store request.
struct store_finished {
  platform_duty Duty = platform_duty::Groups;
  std::uint64_t Id = 0;
  base::store_answer Answer;
};

/// A host list that was read; failed reads give no event.
struct host_list_read {
  std::vector<base::listed_host> Hosts;
};

using platform_event = std::variant<store_finished, host_list_read>;

/// Takes the results; called on the platform threads.
using platform_sink = std::function<void(platform_event &&)>;

/// Executes requests to the platform on one thread per duty.
class platform_threads {
public:
  platform_threads(const std::string &Address, platform_sink Sink);
  ~platform_threads();
  platform_threads(const platform_threads &) = delete;
  platform_threads &operator=(const platform_threads &) = delete;

  /// Returns false when too many requests of the duty wait; no event follows.
  bool submit(platform_request &&Request);

  void stop();

private:
  static constexpr std::size_t DutyCount = 4;
  static constexpr std::size_t WaitingRequests = 256;

  struct lane {
    base::bounded_ring<platform_request> Requests{WaitingRequests};
    std::thread Thread;
  };

  void run(lane &Lane) const;

  std::string Address;
  platform_sink Sink;
  std::array<lane, DutyCount> Lanes;
};

} // namespace radishrelay::daemon

#endif
