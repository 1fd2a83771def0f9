#ifndef RADISHRELAY_DAEMON_FLEET_RUNTIME_H
#define RADISHRELAY_DAEMON_FLEET_RUNTIME_H

#include "radishrelay/base/log.h"
#include "radishrelay/daemon/peer_method.h"
#include "radishrelay/daemon/platform_threads.h"
#include "radishrelay/fleet/configuration_editor.h"
#include "radishrelay/fleet/configuration_replica.h"
#include "radishrelay/fleet/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::daemon {

/// Takes the result of a call to a peer, or its failure.
using peer_result_handler =
    std::function<void(const base::expected<base::json> &)>;

/// Takes the result of a configuration submission.
using submission_handler =
    std::function<void(const fleet::submission_result &)>;

/// What a fleet_runtime needs from the rest of the decision thread.
class fleet_outputs {
public:
  virtual ~fleet_outputs() = default;

  /// Sends an encoded membership message to the host at \p Address ("IP:PORT").
  virtual void sendMembershipPacket(const std::string &Address,
                                    const std::string &Packet) = 0;
  /// Sends a request to the configuration store; fleet_runtime::onStore() takes
  /// the answer. Returns false when the request was not accepted, in which case
  /// no answer follows.
  virtual bool
  submitConfigurationRequest(std::uint64_t Id,
                             const base::store_request &Request) = 0;
  /// Calls \p Method on the host at \p Address. \p Handler takes the result or
  /// the failure, possibly before this returns.
  virtual void callPeerAt(const std::string &Address, peer_method Method,
                          base::json &&Parameters,
                          peer_result_handler &&Handler) = 0;
  /// A new configuration version is in use on this host.
  virtual void onConfiguration(
      const std::shared_ptr<const fleet::configuration_index> &) = 0;
  /// The set of known hosts or the state of one may have changed.
  virtual void onMembersChanged() = 0;
  virtual void logFleet(base::log_level Level, std::string_view Event,
                        const base::json &Fields) = 0;
};

/// Executes the actions of this host's membership, configuration replica and
/// configuration editor, and passes them the answers of the platform's store
/// and the messages of other hosts. Used by the decision thread only.
class fleet_runtime {
public:
  fleet_runtime(const fleet::member_update &Self, std::uint64_t Seed,
                const std::vector<std::string> &JoinAddresses,
                base::time_point StartedAt, fleet_outputs &Outputs);

  /// Executes the periodic work if it is due.
  void tick(base::time_point Now);
  /// When tick() is due next.
  [[nodiscard]] base::time_point nextWake() const { return NextTick; }

  /// Takes a membership message that \p Sender ("IP:PORT") sent. Malformed
  /// messages are dropped.
  void onPacket(const std::string &Packet, const std::string &Sender,
                base::time_point Now);
  /// Takes the store's answer to the request that was sent as \p Id.
  void onStore(std::uint64_t Id, const base::store_answer &Answer,
               base::time_point Now);
  /// Takes the platform's list of hosts.
  void onListedHosts(const std::vector<base::listed_host> &Hosts,
                     base::time_point Now);
  /// Submits a configuration change. \p Handler takes the result; submissions
  /// with the same id share one result.
  void submit(const fleet::configuration_submission &Submission,
              base::time_point Deadline, submission_handler Handler,
              base::time_point Now);
  /// Tells the other hosts that this host is in \p State.
  void announce(fleet::member_state State, base::time_point Now);

  /// This host's result for a peer's call of configuration_since.
  [[nodiscard]] base::json
  answerConfigurationSince(const base::json &Parameters) const;
  /// Adopts the document in \p Parameters if it is newer, and returns the
  /// result for a peer's call of configuration_store: the version that this
  /// host holds.
  base::json answerConfigurationStore(const base::json &Parameters,
                                      base::time_point Now);

  /// True while recent contact with the store or the witnesses confirms this
  /// host's configuration.
  [[nodiscard]] bool isFresh(base::time_point Now) const {
    return Replica.freshness().isFresh(Now);
  }
  [[nodiscard]] const fleet::membership &members() const { return Members; }
  /// Returns the peer address of \p Host, or nothing if it is not a known
  /// member.
  [[nodiscard]] std::optional<std::string>
  addressOf(const base::host_id &Host) const;
  [[nodiscard]] base::json dump(base::time_point Now) const;

private:
  /// Which decision an answer of the store belongs to.
  enum class store_requester { Replica, Editor };
  struct pending_store {
    store_requester Requester;
    std::uint64_t Id;
  };

  void apply(const fleet::membership_actions &Actions, base::time_point Now);
  void apply(const fleet::replica_actions &Actions, base::time_point Now);
  void apply(const fleet::editor_actions &Actions, base::time_point Now);
  void on(const fleet::send_packet &Action, base::time_point Now);
  void on(const fleet::member_changed &Action, base::time_point Now);
  void on(const fleet::peer_evidence &Action, base::time_point Now);
  void on(const fleet::peer_version &Action, base::time_point Now);
  void on(const fleet::version_answered &Action, base::time_point Now);
  void on(const fleet::fetch_configuration &Action, base::time_point Now);
  void on(const fleet::read_store &Action, base::time_point Now);
  void on(const fleet::configuration_adopted &Action, base::time_point Now);
  void on(const fleet::configuration_diverged &Action, base::time_point Now);
  void on(const fleet::request_version &Action, base::time_point Now);
  void on(const fleet::send_store_request &Action, base::time_point Now);
  void on(const fleet::store_at_witness &Action, base::time_point Now);
  void on(const fleet::offer_to_replica &Action, base::time_point Now);
  void on(const fleet::submission_finished &Action, base::time_point Now);
  void submitStoreRequest(store_requester Requester, std::uint64_t Id,
                          const base::store_request &Request,
                          base::time_point Now);
  void updatePeers();

  fleet_outputs &Outputs;
  base::host_id Self;
  fleet::membership Members;
  fleet::configuration_replica Replica;
  fleet::configuration_editor Editor;
  std::map<std::uint64_t, pending_store> StoreRequests;
  std::map<std::string, std::vector<submission_handler>> Submissions;
  std::uint64_t LastStoreRequest = 0;
  base::time_point NextTick;
  /// Time of the latest event. Callbacks with results of calls get no time of
  /// their own and use this one.
  base::time_point LatestNow;
};

} // namespace radishrelay::daemon

#endif
