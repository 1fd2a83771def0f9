#include "radishrelay/sessions/detail/promotion_votes.h"

#include <algorithm>
#include <set>

namespace radishrelay::sessions::detail {

namespace {

/// One vote per this many voters is needed.
constexpr std::size_t MaxVotersPerVote = 4;
constexpr std::size_t MinDomains = 2;

} // namespace

void promotion_votes::receive(const promotion_vote &Vote,
                              base::time_point Now) {
  Votes[Vote.Host] = {Vote, Now + Lifetime};
}

bool promotion_votes::hasQuorum(groups::term_number Term,
                                const group_roles &Roles,
                                base::time_point Now) const {
  std::set<base::failure_domain_id> Domains;
  std::size_t Count = 0;
  for (const auto &[Host, Counted] : Votes) {
    if (Counted.Vote.Term != Term || Now > Counted.CountsUntil)
      continue;
    ++Count;
    Domains.insert(Counted.Vote.Domain);
  }
  return Domains.size() >= std::min(MinDomains, Roles.Domains) &&
         Count * MaxVotersPerVote >= Roles.Voters;
}

} // namespace radishrelay::sessions::detail
