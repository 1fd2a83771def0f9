#ifndef RADISHRELAY_SESSIONS_DETAIL_PROMOTION_VOTES_H
#define RADISHRELAY_SESSIONS_DETAIL_PROMOTION_VOTES_H

#include "radishrelay/base/store_answer.h"
#include "radishrelay/groups/log_position.h"
#include "radishrelay/sessions/engine_options.h"

#include <map>
#include <set>

namespace radishrelay::sessions::detail {

/// Counts the hosts that miss the same primary of one group.
///
/// A promotion stops a group's writes for seconds, so one host that is cut off
/// from a healthy primary must not start one: hosts of two failure domains
/// have to agree, and a quarter of all hosts.
class promotion_votes {
public:
  promotion_votes(base::group_id Group, const engine_options &Options)
      : Group(std::move(Group)), Options(Options) {}

  [[nodiscard]] base::row_key ownKey() const;
  [[nodiscard]] base::json ownVote(groups::term_number Term) const;

  /// Takes the rows of the table of votes.
  void read(const std::vector<base::table_row> &Rows, base::time_point Now);
  /// Whether enough hosts miss the primary of \p Term. \p Hosts is the number
  /// of all hosts, \p Domains that of their failure domains.
  [[nodiscard]] bool isAgreed(groups::term_number Term, std::size_t Hosts,
                              std::size_t Domains, base::time_point Now) const;

private:
  struct vote {
    base::row_version Version = 0;
    base::time_point SeenAt;
    groups::term_number Term = 0;
    std::string Domain;
  };

  base::group_id Group;
  engine_options Options;
  std::map<std::string, vote> Votes;
};

} // namespace radishrelay::sessions::detail

#endif
