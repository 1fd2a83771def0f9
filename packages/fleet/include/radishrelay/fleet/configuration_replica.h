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

/// A host's copy of the configuration with the evidence of its age.
///
/// It adopts higher versions only, from the store if the host is a witness or
/// has no configuration yet, and from peers.
class configuration_replica {
public:
  configuration_replica(base::host_id Self, base::time_point StartedAt,
                        const replica_options &Options = {});

  /// Peers to learn from while the host has no configuration.
  void setPeers(std::vector<base::host_id> Hosts);

  /// To be called at least every 100 ms.
  replica_actions tick(base::time_point Now);
  replica_actions onStoreAnswer(std::uint64_t Id,
                                const base::store_answer &Answer,
                                base::time_point Now);
  /// A peer named its version without being asked.
  replica_actions onPeerVersion(const base::host_id &Peer,
                                configuration_version Version,
                                base::time_point Now);
  /// An answer to a request_version.
  replica_actions onAnswer(const base::host_id &Peer, std::uint64_t Sequence,
                           const evidence_answer &Answer, base::time_point Now);
  /// An answer to another question that was sent at \p AskedAt.
  replica_actions onDatedAnswer(const base::host_id &Peer,
                                const evidence_answer &Answer,
                                base::time_point AskedAt, base::time_point Now);
  replica_actions onDelta(const base::host_id &Peer,
                          const configuration_delta &Delta,
                          base::time_point Now);
  replica_actions onFetchFailed(const base::host_id &Peer,
                                base::time_point Now);
  /// A document that another host offers (configuration_store); the caller
  /// answers with version(). Valid documents of a higher version are adopted.
  replica_actions onDocument(const configuration_document &Document);

  /// Answer to a peer's configuration_since.
  [[nodiscard]] configuration_delta since(configuration_version From) const;

  [[nodiscard]] configuration_version version() const;
  /// Null before the first document.
  [[nodiscard]] const std::shared_ptr<const configuration_index> &
  index() const {
    return Index;
  }
  [[nodiscard]] const freshness_evidence &freshness() const { return Evidence; }
  [[nodiscard]] base::json dump(base::time_point Now) const;

private:
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

  /// \p Kept are the patches that led to \p Document, as far as known.
  void adopt(const configuration_document &Document,
             std::deque<configuration_patch> Kept, replica_actions &Actions);
  bool applyOne(const configuration_patch &Patch, configuration_document &Next);
  void readStore(store_read Kind, base::time_point Now,
                 replica_actions &Actions);
  void readNext(base::time_point Now, replica_actions &Actions);
  void onVersionRow(const base::table_row &Row, base::time_point SentAt);
  void onHistoryRow(const base::table_row &Row, replica_actions &Actions);
  void onCurrentRow(const base::table_row &Row, base::time_point SentAt,
                    replica_actions &Actions);
  void fetch(const base::host_id &Peer, configuration_version Since,
             base::time_point Now, replica_actions &Actions);
  void pollStore(base::time_point Now, replica_actions &Actions);
  void askPeers(base::time_point Now, replica_actions &Actions);
  void checkAnswer(const base::host_id &Peer, const evidence_answer &Answer,
                   base::time_point Now, replica_actions &Actions);

  base::host_id Self;
  replica_options Options;
  freshness_evidence Evidence;
  std::shared_ptr<const configuration_index> Index;
  std::string Digest;
  std::uint64_t ShortDigest = 0;
  /// The patch that led to each of the most recent versions; the last one led
  /// to the present version.
  std::deque<configuration_patch> Patches;
  std::vector<base::host_id> Peers;
  std::size_t NextPeer = 0;
  std::optional<pending_read> Read;
  std::optional<pending_fetch> Fetch;
  /// Highest version that the store is known to have.
  configuration_version StoreVersion = 0;
  bool HistoryUnusable = false;
  std::uint64_t LastReadId = 0;
  std::optional<base::time_point> LastPollAt;
};

} // namespace radishrelay::fleet

#endif
