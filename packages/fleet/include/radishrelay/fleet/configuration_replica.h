#ifndef RADISHRELAY_FLEET_CONFIGURATION_REPLICA_H
#define RADISHRELAY_FLEET_CONFIGURATION_REPLICA_H

#include "radishrelay/base/store_answer.h"
#include "radishrelay/fleet/configuration_delta.h"
#include "radishrelay/fleet/configuration_rows.h"
#include "radishrelay/fleet/freshness_evidence.h"
#include "radishrelay/fleet/replica_action.h"
#include "radishrelay/fleet/replica_options.h"

#include <deque>
#include <optional>
#include <vector>

namespace radishrelay::fleet {

/// A host's copy of the configuration and the evidence of how recent it is (see
/// freshness_evidence).
///
/// The replica adopts only higher versions. It takes them from peers, and from
/// the store if the host is a witness, if it has no configuration yet or if the
/// configuration names no witnesses. The class performs no I/O: the caller
/// executes the returned actions and passes the answers back.
class configuration_replica {
public:
  configuration_replica(base::host_id Self, base::time_point StartedAt,
                        const replica_options &Options = {});

  /// Sets the peers to fetch from while the host has no configuration.
  void setPeers(std::vector<base::host_id> Hosts);

  /// Polls the store and peers as due. Must be called at least every 100 ms.
  replica_actions tick(base::time_point Now);
  /// Handles the answer to the read_store with this \p Id; an answer to an
  /// earlier read is ignored.
  replica_actions onStoreAnswer(std::uint64_t Id,
                                const base::store_answer &Answer,
                                base::time_point Now);
  /// Handles an unsolicited message in which a peer states its version.
  replica_actions onPeerVersion(const base::host_id &Peer,
                                configuration_version Version,
                                base::time_point Now);
  /// Handles an answer to a request_version.
  replica_actions onAnswer(const base::host_id &Peer, std::uint64_t Sequence,
                           const evidence_answer &Answer, base::time_point Now);
  /// Handles evidence in the answer to any other message, for example a
  /// heartbeat, that was sent at \p AskedAt.
  replica_actions onDatedAnswer(const base::host_id &Peer,
                                const evidence_answer &Answer,
                                base::time_point AskedAt, base::time_point Now);
  /// Handles the answer to a fetch_configuration. If the patches cannot be
  /// applied or the digest does not match, the whole document is fetched.
  replica_actions onDelta(const base::host_id &Peer,
                          const configuration_delta &Delta,
                          base::time_point Now);
  /// Handles the failure of a fetch_configuration; a host without a
  /// configuration then asks its next peer.
  replica_actions onFetchFailed(const base::host_id &Peer,
                                base::time_point Now);
  /// Handles a document that another host offers (configuration_store). It is
  /// adopted if it is valid and of a higher version; the caller answers the
  /// offer with version().
  replica_actions onDocument(const configuration_document &Document);

  /// Builds the answer to a peer's configuration_since.
  [[nodiscard]] configuration_delta
  deltaSince(configuration_version From) const;

  /// The current version; 0 before the first document is adopted.
  [[nodiscard]] configuration_version version() const;
  /// Index of the current document; null before the first one is adopted.
  [[nodiscard]] const std::shared_ptr<const configuration_index> &
  index() const {
    return Index;
  }
  [[nodiscard]] const freshness_evidence &freshness() const { return Evidence; }
  [[nodiscard]] base::json dump(base::time_point Now) const;

private:
  /// Kind of row that is read from the store (see configuration_rows.h).
  enum class store_read { Version, History, Current };
  struct pending_read {
    std::uint64_t Id;
    store_read Kind;
    base::time_point Deadline;
  };
  struct pending_fetch {
    base::host_id Peer;
    base::time_point Deadline;
  };

  /// Replaces the current document if \p Document is newer. \p RecentPatches
  /// holds the patches up to its version, as far as they are known.
  void adopt(const configuration_document &Document,
             std::deque<configuration_patch> RecentPatches,
             replica_actions &Actions);
  /// Applies \p Patch to \p Next; returns false and leaves it unchanged if the
  /// patch does not apply.
  bool tryApply(const configuration_patch &Patch, configuration_document &Next);
  void readStore(store_read Kind, base::time_point Now,
                 replica_actions &Actions);
  /// Reads the next history record, or the whole document, if the store has a
  /// higher version than this host.
  void readMissingVersion(base::time_point Now, replica_actions &Actions);
  void onVersionRow(const base::table_row &Row, base::time_point SentAt);
  void onHistoryRow(const base::table_row &Row, replica_actions &Actions);
  void onCurrentRow(const base::table_row &Row, base::time_point SentAt,
                    replica_actions &Actions);
  void fetch(const base::host_id &Peer, configuration_version Since,
             base::time_point Now, replica_actions &Actions);
  void pollStore(base::time_point Now, replica_actions &Actions);
  void fetchFromNextPeer(base::time_point Now, replica_actions &Actions);
  /// Fetches the peer's version if it is higher, and reports a peer that holds
  /// another document of the same version.
  void checkAnswer(const base::host_id &Peer, const evidence_answer &Answer,
                   base::time_point Now, replica_actions &Actions);

  base::host_id Self;
  replica_options Options;
  freshness_evidence Evidence;
  std::shared_ptr<const configuration_index> Index;
  std::string Digest;
  std::uint64_t ShortDigest = 0;
  /// The patches that created the most recent versions, oldest first; the last
  /// one created the current version.
  std::deque<configuration_patch> Patches;
  std::vector<base::host_id> Peers;
  std::size_t NextPeer = 0;
  std::optional<pending_read> PendingRead;
  std::optional<pending_fetch> PendingFetch;
  /// Highest version that is known to be in the store.
  configuration_version StoreVersion = 0;
  /// True if a history record could not be applied to the current version; the
  /// whole document is read instead.
  bool HistoryUnusable = false;
  std::uint64_t LastReadId = 0;
  std::optional<base::time_point> LastPollAt;
};

} // namespace radishrelay::fleet

#endif
