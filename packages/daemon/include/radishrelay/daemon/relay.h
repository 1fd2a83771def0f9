#ifndef RADISHRELAY_DAEMON_RELAY_H
#define RADISHRELAY_DAEMON_RELAY_H

#include "radishrelay/accounts/audit_log.h"
#include "radishrelay/base/metrics_registry.h"
#include "radishrelay/daemon/datagram_kind.h"
#include "radishrelay/daemon/fleet_runtime.h"
#include "radishrelay/daemon/group_runtime.h"
#include "radishrelay/daemon/limits_runtime.h"
#include "radishrelay/daemon/relay_outputs.h"
#include "radishrelay/daemon/request_forwarder.h"
#include "radishrelay/daemon/transaction_runtime.h"
#include "radishrelay/fleet/drain.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace radishrelay::daemon {

/// Identity, limits and timeouts of a relay.
struct relay_options {
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  /// Identifies one run of the host's process; grows with each start.
  std::uint64_t Incarnation = 0;
  /// "IP:PORT" at which the other hosts reach this one.
  std::string PeerAddress;
  /// "IP:PORT" of hosts to contact first.
  std::vector<std::string> JoinAddresses;
  std::size_t MaxRequestsInFlight = 4096;
  base::duration PlatformTimeout = std::chrono::seconds(1);
  fleet::drain_options Drain;
  std::uint64_t Seed = 1;
};

/// The decision logic of one host: request admission, database groups,
/// transactions, limits, membership, configuration and graceful shutdown. Takes
/// events, sends actions to its outputs, and owns no thread or socket. Used by
/// the decision thread only.
class relay : private group_outputs,
              private transaction_outputs,
              private limits_outputs,
              private fleet_outputs {
public:
  relay(const relay_options &Options, relay_outputs &Outputs,
        base::metrics_registry &Metrics, base::time_point StartedAt);

  void handle(relay_event &&Event, base::time_point Now);

  /// Executes what has become due.
  void tick(base::time_point Now);

  /// When tick() is due next.
  [[nodiscard]] base::time_point nextWake() const;

  [[nodiscard]] base::json dump() const;

private:
  void on(caller_request &&Request);
  void on(caller_disconnected &&Event);
  void on(backend::backend_event &&Event);
  void on(platform_event &&Event);
  void on(datagram_received &&Event);
  void on(peer_call_received &&Event);
  void on(peer_call_finished &&Event);
  void on(operator_request_received &&Event);
  void on(stop_requested &&Event);

  // Requests.
  std::optional<problem> checkRequest(const caller_request &Request) const;
  bool isKeyActive(const accounts::verified_key &Key) const;
  bool decodeSession(request_task &Task);
  void route(const request_task_ptr &Task);
  void refuse(const caller_request &Request, const problem &Problem);
  void count(const base::account_id &Account, accounts::audit_outcome Outcome);

  // Transactions, in relay_transactions.cpp.
  void runInTransaction(caller_request &&Request);
  void acceptForwarded(const peer_call_received &Event);
  std::optional<std::string> addressOfHost(const base::host_id &Host) const;
  bool forwardToHost(const base::host_id &Host,
                     const request_task_ptr &Task) override;
  group_runtime *findGroup(const base::group_id &Group) override;

  // Groups.
  void updateGroups(const fleet::configuration_document &Document);
  void addGroup(const fleet::database_group &Group);
  void retire(const base::group_id &Group);
  void removeRetired();
  void updateQuotas();
  void updateLeaving();
  [[nodiscard]] std::uint32_t quotaOf(const fleet::database_group &Group) const;

  // Operators.
  void submitPatch(reply_id Reply, const operator_request &Request);
  void readHistory(reply_id Reply);
  void finishHistory(reply_id Reply, const base::store_answer &Answer);
  [[nodiscard]] operator_reply immediateReply(operator_action Action) const;
  [[nodiscard]] bool isReady() const;
  void reportReady();

  // Drain.
  void advanceDrain();
  void apply(const fleet::drain_actions &Actions);
  void on(const fleet::disable_readiness &Action);
  void on(const fleet::refuse_new_work &Action);
  void on(const fleet::return_loans &Action);
  void on(const fleet::transfer_shares &Action);
  void on(const fleet::abort_running_work &Action);
  void on(const fleet::stop_process &Action);

  // group_outputs and transaction_outputs
  void finishTask(request_task &Task, http_answer &&Answer) override;
  bool submitToBackend(backend::backend_command &&Command) override;
  void submitToStore(group_runtime &Group,
                     const groups::store_call &Call) override;
  void sendVote(const groups::promotion_vote &Vote) override;
  backend::run_id nextRun() override { return ++LastRun; }
  void log(base::log_level Level, std::string_view Event,
           const base::json &Fields) override;

  // limits_outputs
  [[nodiscard]] base::time_point clock() const override;
  void onAdmission(accounts::request_number Request,
                   const accounts::admission &Admission) override;
  bool submitLimitsRequest(std::uint64_t Id,
                           const base::store_request &Request) override;
  void sendLimiterMessage(const base::host_id &To,
                          const accounts::limiter_message &Message) override;

  // fleet_outputs
  void sendMembershipPacket(const std::string &Address,
                            const std::string &Packet) override;
  bool submitConfigurationRequest(std::uint64_t Id,
                                  const base::store_request &Request) override;
  void callPeerAt(const std::string &Address, peer_method Method,
                  base::json &&Parameters,
                  peer_result_handler &&Handler) override;
  void onConfiguration(
      const std::shared_ptr<const fleet::configuration_index> &Index) override;
  void onMembersChanged() override;
  void logFleet(base::log_level Level, std::string_view Event,
                const base::json &Fields) override;

  /// A database group as configured, with its runtime.
  struct group_entry {
    fleet::database_group Definition;
    std::uint64_t Serial = 0;
    std::unique_ptr<group_runtime> Runtime;
  };

  relay_options Options;
  relay_outputs &Outputs;
  base::metrics_registry &Metrics;
  base::time_point Now;
  service_view_ptr View;
  fleet_runtime Fleet;
  limits_runtime Limits;
  fleet::drain Drain;
  transaction_runtime Transactions;
  request_forwarder Forwarder;
  accounts::audit_log Audit;
  std::map<base::group_id, group_entry> Groups;
  /// Groups that were removed or redefined, kept until their requests and
  /// connections have ended.
  std::vector<group_entry> Retired;
  std::map<std::uint64_t, group_runtime *> GroupsBySerial;
  std::unordered_map<caller_connection_id, request_task_ptr> TasksByCaller;
  /// Tasks for which the account limiter has not decided yet.
  std::unordered_map<task_id, request_task_ptr> AwaitingAdmission;
  /// Group serial and call id of each store call in flight.
  std::map<std::uint64_t, std::pair<std::uint64_t, groups::store_call_id>>
      StoreCalls;
  std::map<std::uint64_t, peer_result_handler> PeerCalls;
  std::map<std::uint64_t, reply_id> HistoryReads;
  backend::run_id LastRun = 0;
  task_id LastTask = 0;
  std::uint64_t LastStoreCall = 0;
  std::uint64_t LastPeerCall = 0;
  std::uint64_t LastGroupSerial = 0;
  base::time_point NextHostListRead;
  /// Whether the host held a slot when the quotas were last updated.
  bool HeldSlot = false;
  bool ReportedReady = false;
  bool IsShareTransferDue = false;
  bool HasShareTransferStarted = false;
};

} // namespace radishrelay::daemon

#endif
