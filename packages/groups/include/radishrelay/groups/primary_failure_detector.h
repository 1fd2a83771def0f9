#ifndef RADISHRELAY_GROUPS_PRIMARY_FAILURE_DETECTOR_H
#define RADISHRELAY_GROUPS_PRIMARY_FAILURE_DETECTOR_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/promotion_vote.h"
#include "radishrelay/groups/reachable_domains.h"

#include <map>

namespace radishrelay::groups {

/// Decides whether the primary of the current term should be replaced, from
/// this host's consecutive failed probes and the votes of other hosts.
class primary_failure_detector {
public:
  explicit primary_failure_detector(const failover_options &Options)
      : Options(Options) {}

  /// Discards failures and votes when \p Term differs from the current term.
  void setTerm(term_number Term);

  /// Record the result of a probe of the primary.
  void recordSuccess() { Failures = 0; }
  void recordFailure() { ++Failures; }

  /// Records another host's vote, which counts for VoteLifetime. Votes for
  /// another group or term and votes from this host's own failure domain are
  /// ignored.
  void receive(const promotion_vote &Message, base::time_point Now);

  void setReachableDomains(const reachable_domains &Reachable);

  /// True when this host's own probes of the primary have failed often enough
  /// in succession.
  [[nodiscard]] bool isSuspected() const;

  /// True while a vote from another failure domain counts.
  [[nodiscard]] bool hasVote(base::time_point Now) const;

  /// True when this host suspects the primary and hosts in enough failure
  /// domains agree: in at least two, or, if \p OthersRespond, in all reachable
  /// ones. \p OthersRespond means that a majority of the instances answers
  /// although the primary does not.
  [[nodiscard]] bool isConfirmed(bool OthersRespond,
                                 base::time_point Now) const;

  /// Returns this host's vote, to be sent to the other hosts.
  [[nodiscard]] promotion_vote message() const;

  [[nodiscard]] base::json dump() const;

private:
  failover_options Options;
  term_number Term = 0;
  std::uint32_t Failures = 0;
  std::set<base::failure_domain_id> Reachable;
  /// Time until which the latest vote from each other failure domain counts.
  std::map<base::failure_domain_id, base::time_point> VoteDeadlines;
};

} // namespace radishrelay::groups

#endif
