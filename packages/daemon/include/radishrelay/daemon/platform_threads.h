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

/// Purpose of a request to the platform. Each channel has its own thread and
/// connection, so that a slow answer on one does not delay the others.
enum class platform_channel { Groups, Limits, Configuration, Hosts };

/// Request for the platform's list of live and leaving hosts.
struct read_host_list {};

/// A request to the platform.
struct platform_request {
  platform_channel Channel = platform_channel::Groups;
  /// Chosen by the caller; repeated in the store_finished.
  std::uint64_t Id = 0;
  std::variant<base::store_request, read_host_list> Request;
  base::time_point Deadline;
};

/// The answer to a store request.
struct store_finished {
  platform_channel Channel = platform_channel::Groups;
  std::uint64_t Id = 0;
  base::store_answer Answer;
};

/// A host list read from the platform. A failed read produces no event.
struct host_list_read {
  std::vector<base::listed_host> Hosts;
};

using platform_event = std::variant<store_finished, host_list_read>;

/// Receives the results; called on the platform threads.
using platform_sink = std::function<void(platform_event &&)>;

/// Executes requests to the platform on one thread per channel.
class platform_threads {
public:
  platform_threads(const std::string &Address, platform_sink Sink);
  ~platform_threads();
  platform_threads(const platform_threads &) = delete;
  platform_threads &operator=(const platform_threads &) = delete;

  /// Queues a request. Returns false if the channel's queue is full; no event
  /// follows then.
  bool submit(platform_request &&Request);

  void stop();

private:
  static constexpr std::size_t ChannelCount = 4;
  static constexpr std::size_t MaxQueuedRequests = 256;

  struct worker {
    base::bounded_ring<platform_request> Requests{MaxQueuedRequests};
    std::thread Thread;
  };

  void run(worker &Worker) const;

  std::string Address;
  platform_sink Sink;
  std::array<worker, ChannelCount> Workers;
};

} // namespace radishrelay::daemon

#endif
