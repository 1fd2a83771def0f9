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

/// One host's view of the hosts of the fleet.
class membership {
public:
  /// \p Self has the state Live; its incarnation must be higher than that of
  /// each earlier process with the same host id, for example the start time.
  membership(member_update Self, std::uint64_t Seed,
             const membership_options &Options = {});

  /// Addresses to which a host that knows no one sends its heartbeats.
  void setJoinAddresses(std::vector<std::string> Addresses);
  /// The witnesses of the configuration in force.
  void setWitnesses(const std::vector<base::host_id> &Witnesses);
  /// What the host's heartbeats say of its configuration; to be set before
  /// each call of tick and onMessage.
  void setConfiguration(const evidence_answer &Answer);

  /// To be called at least every 50 ms.
  membership_actions tick(base::time_point Now);
  membership_actions onMessage(const membership_message &Message,
                               const std::string &FromAddress,
                               base::time_point Now);
  /// The platform's list, which lags: it makes hosts leave, but does not bring
  /// back hosts that are gone.
  membership_actions onListedHosts(const std::vector<base::listed_host> &List,
                                   base::time_point Now);
  /// This host announces that it stops (Leaving) or has stopped (Gone).
  membership_actions announce(member_state State, base::time_point Now);
  /// Sends a question of freshness_evidence.
  membership_actions askVersion(const base::host_id &Host,
                                std::uint64_t Sequence);

  [[nodiscard]] std::optional<member_update>
  find(const base::host_id &Host) const;
  /// Live hosts of a failure domain in the order of their names, with this
  /// host. Only these get new ownership and new work.
  [[nodiscard]] std::vector<base::host_id>
  liveHosts(const base::failure_domain_id &FailureDomain) const;
  /// All members that are not gone.
  [[nodiscard]] std::vector<member_update> members() const;
  /// False for another failure domain of which this host, a witness, has
  /// received no summary for SummaryTimeout.
  [[nodiscard]] bool
  isDomainReachable(const base::failure_domain_id &FailureDomain,
                    base::time_point Now) const;
  /// True when the platform lists a backend server's address as leaving.
  [[nodiscard]] bool isServerLeaving(const std::string &Address) const;
  [[nodiscard]] base::json dump() const;

private:
  struct member {
    member_update Update;
    /// End of the suspicion, or of the memory of a host that is gone.
    base::time_point Deadline;
    /// Remaining times that the update is sent.
    std::size_t Repeats = 0;
  };
  struct probe {
    base::host_id Target;
    base::time_point SentAt;
    bool Indirect = false;
  };
  struct relay {
    std::string Address;
    std::uint64_t Sequence;
    base::time_point SentAt;
  };

  void learn(const member_update &Update, base::time_point Now,
             membership_actions &Actions);
  void refute(const member_update &Update);
  void learnAll(const std::vector<member_update> &Updates, base::time_point Now,
                membership_actions &Actions);
  void noteVersion(const base::host_id &Host, const evidence_answer &Answer,
                   membership_actions &Actions) const;
  void change(member &Member, const member_update &Update, base::time_point Now,
              membership_actions &Actions);
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
  std::vector<member_update> nextPage();
  void addPage(std::vector<member_update> &Updates, std::size_t Count);
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
  /// Updates for one packet to \p Receiver, the least sent first.
  std::vector<member_update> takeUpdates(const base::host_id &Receiver);
  [[nodiscard]] std::size_t repeats() const;
  [[nodiscard]] bool isJoining(base::time_point Now) const;
  std::optional<base::host_id> nextTarget();
  std::vector<base::host_id> chooseHelpers(const base::host_id &Target);
  [[nodiscard]] bool isPeer(const member &Member) const;

  member_update Self;
  membership_options Options;
  base::random_generator Random;
  evidence_answer Configuration;
  std::vector<std::string> JoinAddresses;
  std::set<base::host_id> Witnesses;
  std::map<base::host_id, member> Members;
  /// Members that are suspected or gone, and those whose update is still sent;
  /// kept apart as a fleet may have thousands of members.
  std::set<base::host_id> Timed;
  std::set<base::host_id> Spreading;
  std::optional<base::time_point> FirstTickAt;
  /// Targets of the present round of heartbeats, in random order.
  std::vector<base::host_id> Round;
  std::map<std::uint64_t, probe> Probes;
  std::map<std::uint64_t, relay> Relays;
  std::map<base::failure_domain_id, base::time_point> SummaryAt;
  std::set<std::string> LeavingServers;
  /// Incarnation that each host had when it was first listed as leaving; the
  /// lagging list does not apply to a later one.
  std::map<base::host_id, std::uint64_t> ListedLeaving;
  std::uint64_t LastSequence = 0;
  std::size_t NextJoin = 0;
  std::size_t NextPage = 0;
  std::optional<base::time_point> LastPingAt;
  std::optional<base::time_point> LastSummaryAt;
};

} // namespace radishrelay::fleet

#endif
