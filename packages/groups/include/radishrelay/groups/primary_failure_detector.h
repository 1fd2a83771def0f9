#ifndef RADISHRELAY_GROUPS_PRIMARY_FAILURE_DETECTOR_H
#define RADISHRELAY_GROUPS_PRIMARY_FAILURE_DETECTOR_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/failover_options.h"
#include "radishrelay/groups/promotion_vote.h"
#include "radishrelay/groups/reachable_domains.h"

#include <map>

namespace radishrelay::groups {

/// Decides whether the primary of the current term is to be replaced: this
/// host's consecutive failed probes and the suspicions of other hosts.
class primary_failure_detector {
public:
  explicit primary_failure_detector(const failover_options &Options)
      : Options(Options) {}

  /// Starts over for a newer term; keeps the state for the same one.
  void setTerm(term_number Term);

  void recordSuccess() { Failures = 0; }
  void recordFailure() { ++Failures; }

  /// Takes another host's message; counts for VoteLifetime.
  void receive(const promotion_vote &Message, base::time_point Now);

  void setReachableDomains(const reachable_domains &Reachable);

  /// True when this host suspects the primary by its own probes.
  [[nodiscard]] bool isSuspected() const;

  /// True while another failure domain's promotion_vote counts.
  [[nodiscard]] bool hasVote(base::time_point Now) const;

  /// True when hosts in enough failure domains agree: two, or all reachable
  /// ones if \p OthersRespond, that is, a majority of the instances answers
  /// without the primary.
  [[nodiscard]] bool isConfirmed(bool OthersRespond,
                                 base::time_point Now) const;

  /// The message for the other hosts.
  [[nodiscard]] promotion_vote message() const;

  [[nodiscard]] base::json dump() const;

private:
  failover_options Options;
  term_number Term = 0;
  std::uint32_t Failures = 0;
  std::set<base::failure_domain_id> Reachable;
  /// Until when the promotion_vote of a failure domain's hosts counts.
  std::map<base::failure_domain_id, base::time_point> VoteDeadlines;
};

} // namespace radishrelay::groups

#endif
