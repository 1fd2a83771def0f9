#ifndef RADISHRELAY_DAEMON_SERVICE_THREADS_H
#define RADISHRELAY_DAEMON_SERVICE_THREADS_H

#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/daemon/event_loop.h"
#include "radishrelay/sessions/event_log.h"
#include "radishrelay/sessions/fleet_services.h"
#include "radishrelay/sessions/numbers.h"
#include "radishrelay/sessions/read_times.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace radishrelay::daemon {

/// Where the threads deliver what they have; called on the loop's thread.
struct service_events {
  /// Each with the time at which it was asked for and the time it waited.
  std::function<void(base::expected<sessions::catalog_ptr>,
                     sessions::read_times)>
      Catalog;
  std::function<void(base::expected<sessions::instance_reading>,
                     sessions::read_times)>
      Instances;
  std::function<void(sessions::store_call_number, base::store_answer)> Answer;
  std::function<void(sessions::store_call_number, bool Accepted)> Promotion;
  /// A service was lost or is back.
  std::function<void(std::string_view Service, base::failure)> Dependency;
};

/// Calls the platform's services, which block, on a thread for each service.
class service_threads {
public:
  service_threads(sessions::fleet_services Services, event_loop &Loop,
                  service_events Events);
  ~service_threads();
  service_threads(const service_threads &) = delete;
  service_threads &operator=(const service_threads &) = delete;

  /// Starts a read, which waits up to \p Wait for a change.
  void readCatalog(base::duration Wait);
  void readInstances(base::duration Wait);
  /// Queues a call; false when too many wait.
  bool execute(sessions::store_call_number Call, base::store_request Request);
  bool promote(sessions::store_call_number Call, base::group_id Group,
               base::instance_id Instance, base::host_id Holder,
               std::uint64_t Generation);

private:
  struct table_call {
    sessions::store_call_number Number;
    base::store_request Request;
  };
  struct promotion_call {
    sessions::store_call_number Number;
    base::group_id Group;
    base::instance_id Instance;
    base::host_id Holder;
    std::uint64_t Generation = 0;
    base::time_point Deadline;
  };

  /// Runs the reads of one source, whose waits come from \p Reads.
  template <typename Source, typename Handler>
  void runReads(std::string_view Service,
                base::bounded_ring<base::duration> &Reads, Source &From,
                const Handler &Deliver);
  void runTableCalls();
  void runPromotions();
  void report(std::string_view Service, bool &WasLost,
              const base::failure &Failure);

  sessions::fleet_services Services;
  event_loop &Loop;
  service_events Events;
  std::atomic<bool> IsStopping{false};
  /// Waits of the reads to start.
  base::bounded_ring<base::duration> CatalogReads;
  base::bounded_ring<base::duration> InstanceReads;
  base::bounded_ring<table_call> TableCalls;
  base::bounded_ring<promotion_call> PromotionCalls;
  std::vector<std::thread> Threads;
};

} // namespace radishrelay::daemon

#endif
