#ifndef RADISHRELAY_DAEMON_SERVICE_THREADS_H
#define RADISHRELAY_DAEMON_SERVICE_THREADS_H

#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/base/json.h"
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

/// Callbacks for the results of service_threads; called on the event loop's
/// thread.
struct service_events {
  /// Result of a read, with its start time and its allowed wait for a change.
  std::function<void(base::expected<sessions::catalog_reading>,
                     sessions::read_times)>
      Catalog;
  std::function<void(base::expected<sessions::instance_reading>,
                     sessions::read_times)>
      Instances;
  std::function<void(sessions::store_call_number, base::store_answer)> Answer;
  std::function<void(sessions::store_call_number, sessions::order_outcome)>
      Promotion;
  /// A service has become unavailable, or available again if the failure is
  /// empty.
  std::function<void(std::string_view Service, base::failure)> Dependency;
};

/// Calls the platform's services on one thread per service, since the calls
/// block.
class service_threads {
public:
  service_threads(sessions::fleet_services Services, event_loop &Loop,
                  service_events Events);
  ~service_threads();
  service_threads(const service_threads &) = delete;
  service_threads &operator=(const service_threads &) = delete;

  /// Queues a read that waits up to \p Wait for a change.
  void readCatalog(base::duration Wait);
  void readInstances(base::duration Wait);
  /// Queues a call; returns false if the queue is full.
  bool execute(sessions::store_call_number Call, base::store_request Request);
  /// Queues an order that is not sent after \p Deadline; returns false if the
  /// queue is full.
  bool promote(sessions::store_call_number Call, base::group_id Group,
               base::instance_id Instance, base::host_id Holder,
               std::uint64_t Generation, base::time_point Deadline);

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

  /// Log fields that identify an order and the time left to send it.
  static base::json orderFields(const promotion_call &Call);
  /// Thread function for one source: executes the reads queued in \p Reads.
  template <typename Source, typename Handler>
  void runReads(std::string_view Service,
                base::bounded_ring<base::duration> &Reads, Source &From,
                const Handler &Deliver);
  void runTableCalls();
  void runPromotions();
  void reportDependency(std::string_view Service, bool &WasLost,
                        const base::failure &Failure);

  sessions::fleet_services Services;
  event_loop &Loop;
  service_events Events;
  std::atomic<bool> IsStopping{false};
  /// Queued reads; each element is the allowed wait for a change.
  base::bounded_ring<base::duration> CatalogReads;
  base::bounded_ring<base::duration> InstanceReads;
  base::bounded_ring<table_call> TableCalls;
  base::bounded_ring<promotion_call> PromotionCalls;
  std::vector<std::thread> Threads;
};

} // namespace radishrelay::daemon

#endif
