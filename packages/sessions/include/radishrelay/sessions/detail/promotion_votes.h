#ifndef RADISHRELAY_SESSIONS_DETAIL_PROMOTION_VOTES_H
#define RADISHRELAY_SESSIONS_DETAIL_PROMOTION_VOTES_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/detail/group_roles.h"
#include "radishrelay/sessions/detail/peer_message.h"

#include <map>

namespace radishrelay::sessions::detail {

/// Counts the votes of hosts to replace the primary of one group.
///
/// A promotion interrupts the group's writes for seconds, so a single host that
/// is cut off from a healthy primary must not start one: hosts of two failure
/// domains and a quarter of all voters have to agree. Votes are sent as
/// datagrams and not through the store, since a primary may be lost while the
/// store is slow.
class promotion_votes {
public:
  explicit promotion_votes(base::duration Lifetime) : Lifetime(Lifetime) {}

  void receive(const promotion_vote &Vote, base::time_point Now);
  /// Whether the unexpired votes against the primary of \p Term suffice for a
  /// promotion.
  [[nodiscard]] bool hasQuorum(groups::term_number Term,
                               const group_roles &Roles,
                               base::time_point Now) const;

private:
  struct counted_vote {
    promotion_vote Vote;
    base::time_point CountsUntil;
  };

  base::duration Lifetime;
  std::map<base::host_id, counted_vote> Votes;
};

} // namespace radishrelay::sessions::detail

#endif
