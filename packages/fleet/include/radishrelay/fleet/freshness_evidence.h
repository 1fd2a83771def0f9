#ifndef RADISHRELAY_FLEET_FRESHNESS_EVIDENCE_H
#define RADISHRELAY_FLEET_FRESHNESS_EVIDENCE_H

#include "radishrelay/base/json.h"
#include "radishrelay/fleet/configuration_index.h"
#include "radishrelay/fleet/evidence_answer.h"
#include "radishrelay/fleet/freshness_options.h"
#include "radishrelay/fleet/request_version.h"

#include <map>
#include <optional>
#include <vector>

namespace radishrelay::fleet {

/// Decides whether this host's configuration is recent enough to serve keyed
/// routes, which a withdrawn client key must no longer pass.
///
/// Evidence dated E proves that no configuration newer than the host's own
/// version was accepted before E. Its source is a read of the store, answers of
/// a majority of the witnesses, or the evidence of a peer. It is dated by the
/// time at which the read or the query was sent, since the answer may already
/// be outdated when it arrives.
class freshness_evidence {
public:
  freshness_evidence(base::host_id Self, base::time_point StartedAt,
                     const freshness_options &Options = {});

  /// Called when the host adopts \p Document; its version must not be lower
  /// than that of the document before it.
  void onAdopted(configuration_pointer Document, std::uint64_t Digest);
  /// Called when the store reports \p Version as the current one in answer to a
  /// read that was sent at \p SentAt.
  void onStoreVersion(configuration_version Version, base::time_point SentAt);
  /// Takes the answer to a request_version. Ignores an answer with an unknown
  /// sequence, or from another host than the one queried.
  void onAnswer(const base::host_id &Host, std::uint64_t Sequence,
                const evidence_answer &Answer);
  /// Takes an answer that arrived without a request_version, for example with
  /// the acknowledgement of a heartbeat that was sent at \p AskedAt.
  void onDatedAnswer(const base::host_id &Host, const evidence_answer &Answer,
                     base::time_point AskedAt);

  /// Returns the version queries that are due. Called periodically, several
  /// times per freshness_options::QueryInterval.
  std::vector<request_version> tick(base::time_point Now);

  /// True if keyed routes may be served at \p Now.
  [[nodiscard]] bool isFresh(base::time_point Now) const;
  /// Time up to and including which keyed routes may be served; empty without
  /// evidence.
  [[nodiscard]] std::optional<base::time_point> freshUntil() const;
  /// This host's answer to a version query that arrives at \p Now.
  [[nodiscard]] evidence_answer answer(base::time_point Now) const;
  [[nodiscard]] base::json dump(base::time_point Now) const;

private:
  /// Last answer of a host and the time at which its query was sent.
  struct dated_answer {
    evidence_answer Answer;
    base::time_point AskedAt;
  };
  /// A request_version that has not been answered yet.
  struct pending_query {
    base::host_id Host;
    base::time_point AskedAt;
  };

  /// Records that no version above \p Version was accepted before \p At.
  void addEvidence(configuration_version Version, base::time_point At);
  /// Dates the evidence \p At unless it is more recent already.
  void advanceEvidence(base::time_point At);
  /// Advances the evidence to that of a majority of the witnesses' answers.
  void recompute();
  /// Advances the evidence to \p Now if this host alone is a majority.
  void refreshFromOwnMajority(base::time_point Now);
  /// Latest time at or after which a majority of the witnesses was queried,
  /// counting valid answers only; time_point::max() if this host alone is a
  /// majority.
  [[nodiscard]] std::optional<base::time_point> witnessesAskedAt() const;
  [[nodiscard]] bool countsTowardsMajority(const evidence_answer &Answer) const;
  [[nodiscard]] bool isQueryDue(base::time_point Now) const;
  std::vector<base::host_id> chooseQueryTargets(base::time_point Now);

  base::host_id Self;
  base::time_point StartedAt;
  freshness_options Options;
  configuration_pointer Document;
  configuration_version Version = 0;
  std::uint64_t Digest = 0;
  bool Confirmed = false;
  std::optional<base::time_point> EvidenceAt;
  /// Evidence for versions that the host has not adopted yet.
  std::map<configuration_version, base::time_point> Pending;
  std::map<base::host_id, dated_answer> Answers;
  std::map<std::uint64_t, pending_query> PendingQueries;
  std::uint64_t LastSequence = 0;
  std::size_t NextWitness = 0;
  std::optional<base::time_point> LastQueryAt;
};

} // namespace radishrelay::fleet

#endif
