#ifndef RADISHRELAY_DAEMON_RELAY_H
#define RADISHRELAY_DAEMON_RELAY_H

#include "radishrelay/base/metrics_registry.h"
#include "radishrelay/daemon/group_runtime.h"
#include "radishrelay/daemon/relay_outputs.h"
#include "radishrelay/daemon/request_forwarder.h"
#include "radishrelay/daemon/transaction_runtime.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace radishrelay::daemon {

/// Identity and bounds of a relay.
struct relay_options {
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  /// Distinguishes restarts of the host.
  std::string Incarnation;
  std::size_t MaxRequestsInFlight = 4096;
  base::duration PlatformTimeout = std::chrono::seconds(1);
  std::uint64_t Seed = 1;
};

/// Joins all decisions of a host. Takes events, sends actions to its outputs,
/// and holds no clock, thread or socket. Used by the decision thread only.
class relay : private group_outputs, private transaction_outputs {
public:
  relay(relay_options Options, relay_outputs &Outputs,
        base::metrics_registry &Metrics);

  void handle(relay_event &&Event, base::time_point Now);

  /// Does what has become due.
  void tick(base::time_point Now);

  /// When tick() is due next.
  [[nodiscard]] base::time_point nextWake() const;

  [[nodiscard]] base::json dump() const;

private:
  void on(caller_request &&Request);
  void on(caller_gone &&Event);
  void on(backend::backend_event &&Event);
  void on(platform_event &&Event);
  void on(datagram_received &&Event);
  void on(peer_call_received &&Event);
  void on(peer_call_finished &&Event);
  void on(operator_request_received &&Event);
  void on(stop_requested &&Event);

  void adopt(const fleet::configuration_pointer &Document);
  void updateGroups(const fleet::configuration_document &Document);
  void refuse(const caller_request &Request, problem Problem);
  bool decodeSession(request_task &Task);
  void countRefusal(const base::account_id &Account, problem_code Code);

  // Transactions, in relay_transactions.cpp.
  void runInTransaction(caller_request &&Request);
  void acceptForwarded(const peer_call_received &Event);
  std::optional<std::string> addressOfHost(const base::host_id &Host) const;
  bool forwardToHost(const base::host_id &Host,
                     const request_task_ptr &Task) override;
  group_runtime *findGroup(const base::group_id &Group) override;

  // group_outputs and transaction_outputs
  void finishTask(request_task &Task, http_answer &&Answer) override;
  bool submitToBackend(backend::backend_command &&Command) override;
  void submitToStore(group_runtime &Group,
                     const groups::store_call &Call) override;
  void sendSuspicion(const groups::suspicion &Suspicion) override;
  backend::run_id nextRun() override { return ++LastRun; }
  void log(base::log_level Level, std::string_view Event,
           const base::json &Fields) override;

  struct group_entry {
    fleet::database_group Definition;
    std::unique_ptr<group_runtime> Runtime;
  };

  relay_options Options;
  relay_outputs &Outputs;
  base::metrics_registry &Metrics;
  base::time_point Now;
  service_view_ptr View;
  std::map<base::group_id, group_entry> Groups;
  std::map<std::uint64_t, group_runtime *> GroupsBySerial;
  std::unordered_map<caller_connection_id, request_task_ptr> TasksByCaller;
  std::map<std::uint64_t, std::pair<group_runtime *, groups::store_call_id>>
      StoreCalls;
  backend::run_id LastRun = 0;
  task_id LastTask = 0;
  std::uint64_t LastStoreCall = 0;
  transaction_runtime Transactions;
  request_forwarder Forwarder;
  std::uint64_t LastGroupSerial = 0;
  base::time_point NextConfigurationRead;
};

} // namespace radishrelay::daemon

#endif
