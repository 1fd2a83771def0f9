#ifndef RADISHRELAY_FLEET_FRESHNESS_EVIDENCE_H
#define RADISHRELAY_FLEET_FRESHNESS_EVIDENCE_H

#include "radishrelay/base/json.h"
#include "radishrelay/fleet/ask_version.h"
#include "radishrelay/fleet/configuration_index.h"
#include "radishrelay/fleet/evidence_answer.h"
#include "radishrelay/fleet/freshness_options.h"

#include <map>
#include <optional>
#include <vector>

namespace radishrelay::fleet {

/// Decides whether a host may serve keyed routes.
///
/// Evidence dated E means that each configuration accepted before E has at
/// most the host's own version. It comes from a read of the store, from a
/// majority of the witnesses, or from a peer that passes its own on, and is
/// dated when the question was sent.
class freshness_evidence {
public:
  freshness_evidence(base::host_id Self, base::time_point StartedAt,
                     const freshness_options &Options = {});

  /// The host adopted a document; versions never decrease.
  void onAdopted(configuration_pointer Document, std::uint64_t Digest);
  /// The store named \p Version in answer to a read sent at \p SentAt.
  void onStoreVersion(configuration_version Version, base::time_point SentAt);
  /// An answer to an ask_version; one with an unknown sequence is ignored.
  void onAnswer(const base::host_id &Host, std::uint64_t Sequence,
                const evidence_answer &Answer);
  /// An answer to another question that was sent at \p AskedAt, for example to
  /// a heartbeat.
  void onDatedAnswer(const base::host_id &Host, const evidence_answer &Answer,
                     base::time_point AskedAt);

  /// Questions that are due.
  std::vector<ask_version> tick(base::time_point Now);

  /// True when keyed routes may be served at \p Now.
  [[nodiscard]] bool isFresh(base::time_point Now) const;
  /// Keyed routes may be served up to this time point; empty without evidence.
  [[nodiscard]] std::optional<base::time_point> freshUntil() const;
  /// What this host answers when it is asked at \p Now.
  [[nodiscard]] evidence_answer answer(base::time_point Now) const;
  [[nodiscard]] base::json dump(base::time_point Now) const;

private:
  struct dated_answer {
    evidence_answer Answer;
    base::time_point AskedAt;
  };
  struct question {
    base::host_id Host;
    base::time_point AskedAt;
  };

  void addEvidence(configuration_version Version, base::time_point At);
  void raise(base::time_point At);
  void recompute();
  void trustOwnMajority(base::time_point Now);
  [[nodiscard]] std::optional<base::time_point> witnessesAskedAt() const;
  [[nodiscard]] bool counts(const evidence_answer &Answer) const;
  [[nodiscard]] bool isDue(base::time_point Now) const;
  std::vector<base::host_id> chooseHosts(base::time_point Now);

  base::host_id Self;
  base::time_point StartedAt;
  freshness_options Options;
  configuration_pointer Document;
  configuration_version Version = 0;
  std::uint64_t Digest = 0;
  bool Confirmed = false;
  std::optional<base::time_point> EvidenceAt;
  /// Evidence for versions that the host does not have yet.
  std::map<configuration_version, base::time_point> Pending;
  std::map<base::host_id, dated_answer> Answers;
  std::map<std::uint64_t, question> Questions;
  std::uint64_t LastSequence = 0;
  std::size_t NextWitness = 0;
  std::optional<base::time_point> LastAskedAt;
};

} // namespace radishrelay::fleet

#endif
