#ifndef RADISHRELAY_FLEET_MEMBERSHIP_H
#define RADISHRELAY_FLEET_MEMBERSHIP_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/listed_host.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/fleet/membership_action.h"
#include "radishrelay/fleet/membership_options.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace radishrelay::fleet {

/// One host's view of the hosts of the fleet, kept by a gossip protocol like
/// SWIM.
///
/// Each host pings the members of its failure domain in turn, asks others to
/// probe a member that does not acknowledge, and disseminates changes of state
/// with the heartbeats. Witnesses exchange summaries between failure domains.
/// The caller executes the returned actions.
class membership {
public:
  /// \p Self must have the state Live and a higher incarnation than each
  /// earlier process with the same host id; the start time serves as one.
  membership(member_update Self, std::uint64_t Seed,
             const membership_options &Options = {});

  /// Sets the addresses that are pinged while no other member is known, and
  /// occasionally later to reconnect the sides of a healed partition.
  void setJoinAddresses(std::vector<std::string> Addresses);
  /// Sets the witnesses of the current configuration.
  void setWitnesses(const std::vector<base::host_id> &Witnesses);
  /// Sets the report of this host's configuration that its heartbeats carry.
  /// Must be called before each call of tick and onMessage.
  void setConfiguration(const evidence_answer &Answer);

  /// Sends heartbeats and summaries and checks deadlines. Must be called at
  /// least every 50 ms.
  membership_actions tick(base::time_point Now);
  membership_actions onMessage(const membership_message &Message,
                               const std::string &FromAddress,
                               base::time_point Now);
  /// Takes the platform's list of hosts. The list lags behind, so it moves
  /// hosts to Leaving but never revives hosts that are gone.
  membership_actions onListedHosts(const std::vector<base::listed_host> &List,
                                   base::time_point Now);
  /// Announces to the peers that this host is shutting down (Leaving) or has
  /// stopped (Gone).
  membership_actions announce(member_state State, base::time_point Now);
  /// Sends a version query for a request_version of freshness_evidence. Does
  /// nothing if \p Host is unknown.
  membership_actions requestVersion(const base::host_id &Host,
                                    std::uint64_t Sequence);

  [[nodiscard]] std::optional<member_update>
  find(const base::host_id &Host) const;
  /// Live hosts of a failure domain, sorted by name, including this host. Only
  /// these get new ownership and new work.
  [[nodiscard]] std::vector<base::host_id>
  liveHosts(const base::failure_domain_id &FailureDomain) const;
  /// All members that are not gone.
  [[nodiscard]] std::vector<member_update> members() const;
  /// False if the last summary of \p FailureDomain arrived more than
  /// SummaryTimeout ago. True if none has arrived, as on hosts that are not
  /// witnesses.
  [[nodiscard]] bool
  isDomainReachable(const base::failure_domain_id &FailureDomain,
                    base::time_point Now) const;
  /// True if the platform lists the backend server at \p Address as leaving.
  [[nodiscard]] bool isServerLeaving(const std::string &Address) const;
  [[nodiscard]] base::json dump() const;

private:
  struct member {
    member_update Update;
    /// Time at which a suspected member becomes gone, or a member that is gone
    /// is removed.
    base::time_point Deadline;
    /// Number of times that the update is still to be sent.
    std::size_t RemainingSends = 0;
  };
  /// A heartbeat of this host that has not been acknowledged yet.
  struct probe {
    base::host_id Target;
    base::time_point SentAt;
    bool Indirect = false;
  };
  /// A ping sent on behalf of the host at \p Address, and the sequence under
  /// which that host expects the acknowledgement.
  struct relayed_probe {
    std::string Address;
    std::uint64_t Sequence;
    base::time_point SentAt;
  };

  void applyUpdate(const member_update &Update, base::time_point Now,
                   membership_actions &Actions);
  /// Raises this host's incarnation if \p Update wrongly reports it as
  /// suspected or gone.
  void refute(const member_update &Update);
  void applyUpdates(const std::vector<member_update> &Updates,
                    base::time_point Now, membership_actions &Actions);
  void reportNewerVersion(const base::host_id &Host,
                          const evidence_answer &Answer,
                          membership_actions &Actions) const;
  /// Stores \p Update, sets its deadline and schedules its dissemination.
  void replaceUpdate(member &Member, const member_update &Update,
                     base::time_point Now, membership_actions &Actions);
  void suspect(const base::host_id &Host, base::time_point Now,
               membership_actions &Actions);
  void setState(member &Member, member_state State, base::time_point Now,
                membership_actions &Actions);
  void sendPing(base::time_point Now, membership_actions &Actions);
  void checkProbes(base::time_point Now, membership_actions &Actions);
  void probeIndirectly(std::uint64_t Sequence, const probe &Probe,
                       membership_actions &Actions);
  void checkDeadlines(base::time_point Now, membership_actions &Actions);
  void sendSummaries(base::time_point Now, membership_actions &Actions);
  std::vector<member_update> recentChanges() const;
  std::vector<member_update> nextSummaryPage();
  void addRandomMembers(std::vector<member_update> &Updates, std::size_t Count);
  void receive(const ping_message &Ping, const membership_message &Message,
               const std::string &From, base::time_point Now,
               membership_actions &Actions);
  void receive(const ack_message &Ack, const membership_message &Message,
               const std::string &From, base::time_point Now,
               membership_actions &Actions);
  void receive(const probe_message &Probe, const membership_message &Message,
               const std::string &From, base::time_point Now,
               membership_actions &Actions);
  void receive(const summary_message &Summary,
               const membership_message &Message, const std::string &From,
               base::time_point Now, membership_actions &Actions);
  void receive(const version_query &Query, const membership_message &Message,
               const std::string &From, base::time_point Now,
               membership_actions &Actions);
  void receive(const version_reply &Reply, const membership_message &Message,
               const std::string &From, base::time_point Now,
               membership_actions &Actions);
  void send(const std::string &Address, membership_body Body,
            membership_actions &Actions) const;
  /// Updates for one packet to \p Receiver, those sent least often first.
  std::vector<member_update> takeUpdates(const base::host_id &Receiver);
  [[nodiscard]] std::size_t sendsPerUpdate() const;
  [[nodiscard]] bool isJoining(base::time_point Now) const;
  std::optional<base::host_id> nextTarget();
  /// Chooses live peers at random that probe \p Target on this host's behalf.
  std::vector<base::host_id> chooseHelpers(const base::host_id &Target);
  /// True if \p Member is in this host's failure domain and not gone.
  [[nodiscard]] bool isPeer(const member &Member) const;

  member_update Self;
  membership_options Options;
  base::random_generator Random;
  evidence_answer Configuration;
  std::vector<std::string> JoinAddresses;
  std::set<base::host_id> Witnesses;
  std::map<base::host_id, member> Members;
  /// Members that are suspected or gone, and members whose update is still to
  /// be sent. Indexed separately because a fleet may have thousands of members.
  std::set<base::host_id> MembersWithDeadline;
  std::set<base::host_id> MembersToSend;
  std::optional<base::time_point> FirstTickAt;
  /// Remaining targets of the current round of heartbeats, in random order.
  std::vector<base::host_id> RoundTargets;
  std::map<std::uint64_t, probe> Probes;
  std::map<std::uint64_t, relayed_probe> RelayedProbes;
  std::map<base::failure_domain_id, base::time_point> SummaryAt;
  std::set<std::string> LeavingServers;
  /// Incarnation of each host when the platform first listed it as leaving. The
  /// list lags behind, so the entry does not apply to a later incarnation.
  std::map<base::host_id, std::uint64_t> ListedLeaving;
  std::uint64_t LastSequence = 0;
  std::size_t NextReconnect = 0;
  std::size_t NextSummaryMember = 0;
  std::optional<base::time_point> LastPingAt;
  std::optional<base::time_point> LastSummaryAt;
};

} // namespace radishrelay::fleet

#endif
