#include "radishrelay/sessions/detail/promotion_votes.h"

#include <algorithm>
#include <set>

namespace radishrelay::sessions::detail {

namespace {

/// One vote of so many voters is needed.
constexpr std::size_t VotersPerVote = 4;
constexpr std::size_t NeededDomains = 2;

} // namespace

void promotion_votes::receive(const promotion_vote &Vote,
                              base::time_point Now) {
  Votes[Vote.Host] = {Vote, Now + Lifetime};
}

bool promotion_votes::isAgreed(groups::term_number Term, const fleet_size &Size,
                               base::time_point Now) const {
  std::set<base::failure_domain_id> Domains;
  std::size_t Count = 0;
  for (const auto &[Host, Counted] : Votes) {
    if (Counted.Vote.Term != Term || Now > Counted.CountsUntil)
      continue;
    ++Count;
    Domains.insert(Counted.Vote.Domain);
  }
  return Domains.size() >= std::min(NeededDomains, Size.Domains) &&
         Count * VotersPerVote >= Size.Voters;
}

} // namespace radishrelay::sessions::detail
