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
#include <vector>

namespace radishrelay::sessions::detail {

/// The hosts of the fleet according to the members table in the store.
///
/// Each host renews its own row periodically. Other hosts treat a row as live
/// until it has not changed for MemberLifetime; the host itself stops using its
/// shares of limits earlier, after ShareLifetime, so that the shares in use
/// never add up to more than the whole limit. A new member does not use its
/// shares until the other hosts have had time to read its row.
///
/// A store that was restored from a copy may lack the row of a host that still
/// uses its share; the row is treated as if it had not changed.
class fleet_members {
public:
  fleet_members(const engine_options &Options, store_calls &Store,
                coordination_port &Port, event_log &Log);

  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;
  void send(const peer_message &Message, const std::string &Address);
  /// Sends \p Report to the other hosts of this failure domain, with the digest
  /// and age of this host's list of members.
  void sendToDomain(watch_report Report, base::time_point Now);
  /// Sends \p Report to one host, as sendToDomain does.
  void sendReport(watch_report Report, const std::string &Address,
                  base::time_point Now);
  /// Whether the members table has been read.
  [[nodiscard]] bool isKnown() const { return ReadAt.has_value(); }
  /// Another host of the fleet.
  struct peer {
    std::string Name;
    base::failure_domain_id Domain;
    std::string Address;

    friend bool operator==(const peer &, const peer &) = default;
  };
  [[nodiscard]] std::vector<peer> others() const;
  /// Addresses of up to \p Count other hosts, different ones for each host.
  [[nodiscard]] std::vector<std::string> someOthers(std::size_t Count) const;
  /// Compares the digest in a watcher's report with the members known here; a
  /// newer, different list triggers a read of the members table.
  void receive(const watch_report &Report, base::time_point Now);
  /// Whether this host waits at the store for changes on behalf of its failure
  /// domain.
  [[nodiscard]] bool isWatcher() const { return IsWatcher; }

  /// Addresses of the hosts of this failure domain that read the claims, in the
  /// order in which this host asks them. This host itself is the last one
  /// unless it is among the readers.
  [[nodiscard]] const std::vector<std::string> &claimReaders() const {
    return ClaimReaders;
  }
  /// Whether the row of this host is in the members table, so that the rows of
  /// hosts that started before it are known.
  [[nodiscard]] bool isListed() const {
    return Members.contains(Options.Host.str());
  }

  /// Names of all hosts by failure domain, including this host.
  [[nodiscard]] hosts_by_domain hosts() const;
  /// Increases whenever hosts or their addresses change.
  [[nodiscard]] std::uint64_t hostsVersion() const { return HostsVersion; }
  /// Address to which datagrams for \p Host are sent; empty if unknown.
  [[nodiscard]] std::string addressOf(const std::string &Host) const;
  /// Whether this host may use its shares: its row was renewed within
  /// ShareLifetime, and the other hosts have had time to read it.
  [[nodiscard]] bool holdsShares(base::time_point Now) const;
  /// Number of hosts, including this one.
  [[nodiscard]] std::size_t size() const;
  /// Which hosts probe, vote and promote for \p Group, as seen by this host.
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
  /// Whether \p Known has the row of a host as it was written last, possibly in
  /// an earlier history of the store.
  [[nodiscard]] static bool
  isSameRow(const std::map<std::string, member> &Known,
            const base::table_row &Row);
  /// Adds members to \p Current whose rows a restored store has lost, and
  /// remembers those that were removed.
  void recordMissing(std::map<std::string, member> &Current,
                     std::uint64_t History, base::time_point Now);
  void updateHosts();
  void updateClaimReaders();
  void removeExpired(base::time_point Now);
  void removeRow(const std::string &Name, base::row_version Version);

  engine_options Options;
  store_calls &Store;
  coordination_port &Port;
  event_log &Log;
  std::map<std::string, member> Members;
  /// Last known rows of hosts that were removed. A restored store may show them
  /// again.
  std::map<std::string, member> Removed;
  std::uint64_t HostsVersion = 0;
  base::time_point NextRenewalAt;
  base::time_point RenewalSentAt;
  bool IsRenewing = false;
  /// Time at which the last successful read of the members table was sent.
  std::optional<base::time_point> ReadAt;
  base::time_point ReadSentAt;
  base::time_point NextReadTryAt;
  bool IsReading = false;
  /// Latest time at which a watcher is known to have read the same members.
  base::time_point ConfirmedAt;
  /// A watcher reported members that differ from those known here.
  bool IsBehind = false;
  std::uint64_t HostsDigest = 0;
  bool IsWatcher = false;
  std::vector<std::string> ClaimReaders;
  /// Time at which the latest successful renewal of this host's row was sent.
  std::optional<base::time_point> RenewedAt;
  base::time_point SharesUsableAt;
};

} // namespace radishrelay::sessions::detail

#endif
