#ifndef RADISHRELAY_SESSIONS_DETAIL_COMMIT_SURVEY_H
#define RADISHRELAY_SESSIONS_DETAIL_COMMIT_SURVEY_H

#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/peer_message.h"

#include <optional>
#include <set>
#include <string>

namespace radishrelay::sessions::detail {

/// Asks all other hosts, for a promotion without the old primary, which commits
/// they have acknowledged to their clients.
///
/// A commit may have been confirmed by a replica that is not listed yet, so
/// that the promotion has not fenced it. If every host has answered after the
/// fences were set, the verified logs hold all that clients were told of once
/// they reach highest(). Otherwise the promotion has to wait until each replica
/// that may have confirmed a commit is listed.
class commit_survey {
public:
  explicit commit_survey(fleet_members &Members) : Members(Members) {}

  /// Begins to ask about the commits of \p Inquiry, on behalf of a promotion
  /// that has fenced the members at \p FencedAt.
  void begin(const commit_inquiry &Inquiry, base::time_point FencedAt);
  void end() { Inquiry.reset(); }
  [[nodiscard]] bool isRunning() const { return Inquiry.has_value(); }
  [[nodiscard]] base::time_point fencedAt() const { return FencedAt; }
  void receive(const commit_report &Report, base::time_point Now);
  /// Asks the hosts that have not answered, at intervals.
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake() const;
  /// Whether all other hosts have answered. \p Unreachable names the failure
  /// domain of a primary that cannot be reached: if none of its hosts answers,
  /// it is taken to be cut off, and its hosts are not waited for.
  [[nodiscard]] bool
  isComplete(const std::optional<base::failure_domain_id> &Unreachable) const;
  /// The highest position that a host has reported.
  [[nodiscard]] std::optional<groups::log_position> highest() const {
    return Highest;
  }

private:
  fleet_members &Members;
  std::optional<commit_inquiry> Inquiry;
  base::time_point FencedAt;
  base::time_point NextInquiryAt;
  std::set<std::string> Answered;
  std::optional<groups::log_position> Highest;
};

} // namespace radishrelay::sessions::detail

#endif
