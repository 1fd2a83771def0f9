#ifndef RADISHRELAY_SESSIONS_DETAIL_FLEET_MEMBERS_H
#define RADISHRELAY_SESSIONS_DETAIL_FLEET_MEMBERS_H

#include "radishrelay/sessions/detail/group_roles.h"
#include "radishrelay/sessions/detail/limit_owners.h"
#include "radishrelay/sessions/detail/peer_message.h"
#include "radishrelay/sessions/detail/store_calls.h"
#include "radishrelay/sessions/engine_options.h"
#include "radishrelay/sessions/event_log.h"

#include <map>
#include <optional>
#include <string>

namespace radishrelay::sessions::detail {

/// The hosts of the fleet, as the store's table of members tells.
///
/// A host renews its row while it can. Others count a row until it has not
/// changed for MemberLifetime; the host itself stops using its shares of limits
/// earlier, after ShareLifetime, so that shares never sum to more than the
/// whole. A member that is new waits until the others have seen its row.
class fleet_members {
public:
  fleet_members(const engine_options &Options, store_calls &Store,
                coordination_port &Port, event_log &Log);

  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;
  void send(const peer_message &Message, const std::string &Address);
  /// Reports to the other hosts of the failure domain, with the digest of the
  /// hosts that this one counts.
  void sendToDomain(watch_report Report, base::time_point Now);
  /// Takes what a watcher tells of the hosts.
  void receive(const watch_report &Report, base::time_point Now);
  /// Whether this host watches the store for its failure domain.
  [[nodiscard]] bool isWatcher() const { return IsWatcher; }

  /// The hosts by failure domain, this one included.
  [[nodiscard]] hosts_by_domain hosts() const;
  /// Grows whenever hosts or their addresses change.
  [[nodiscard]] std::uint64_t hostsVersion() const { return HostsVersion; }
  /// Where \p Host gets datagrams; empty when that is not known.
  [[nodiscard]] std::string addressOf(const std::string &Host) const;
  /// Whether all other hosts count this one, so that it may use its shares.
  [[nodiscard]] bool holdsShares(base::time_point Now) const;
  /// Number of hosts, this one included.
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] group_roles rolesFor(const base::group_id &Group) const;
  [[nodiscard]] base::json dump() const;

private:
  struct member {
    base::row_version Version = 0;
    base::time_point SeenAt;
    std::string Domain;
    std::string Address;
  };

  void renew(base::time_point Now);
  void onRenewed(const base::store_answer &Answer, base::time_point SentAt,
                 base::time_point Now);
  void read(base::time_point Now);
  [[nodiscard]] base::time_point nextReadAt() const;
  void onRead(const base::store_answer &Answer, base::time_point SentAt,
              base::time_point Now);
  void updateHosts();
  void removeExpired(base::time_point Now);

  engine_options Options;
  store_calls &Store;
  coordination_port &Port;
  event_log &Log;
  std::map<std::string, member> Members;
  std::uint64_t HostsVersion = 0;
  base::time_point NextRenewalAt;
  base::time_point RenewalSentAt;
  bool IsRenewing = false;
  /// When the last successful read was sent.
  std::optional<base::time_point> ReadAt;
  base::time_point ReadSentAt;
  base::time_point NextReadTryAt;
  bool IsReading = false;
  /// When a watcher has last confirmed the hosts that this one counts.
  base::time_point ConfirmedAt;
  /// A watcher counts other hosts.
  bool IsBehind = false;
  std::uint64_t HostsDigest = 0;
  bool IsWatcher = false;
  /// When the own row was last renewed; the time at which that was asked for.
  std::optional<base::time_point> RenewedAt;
  base::time_point SharesUsableAt;
};

} // namespace radishrelay::sessions::detail

#endif
