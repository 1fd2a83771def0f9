#ifndef RADISHRELAY_SESSIONS_GROUP_LEADERSHIP_H
#define RADISHRELAY_SESSIONS_GROUP_LEADERSHIP_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/sessions/instance_status.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace radishrelay::sessions {

/// What a host can prove about the primary of one database group.
///
/// A promotion first fences all instances but one, then waits for the lease
/// duration. So if, after a time point, the primary and one other instance
/// were both unfenced, no promotion takes effect before that time point plus
/// the lease duration, and the primary holds every acknowledged commit until
/// then. An acknowledged commit proves this by itself, since a replica has
/// received it; otherwise the statuses of two instances do.
class group_leadership {
public:
  explicit group_leadership(base::duration LeaseDuration)
      : LeaseDuration(LeaseDuration) {}

  /// The instances that may take part in the group.
  void setMembers(std::set<base::instance_id> NewMembers);
  /// Whether an acknowledged commit is held by a replica.
  void setCommitsReplicated(bool Value) { AreCommitsReplicated = Value; }

  /// \p Instance acknowledged a commit that was sent at \p SentAt.
  void recordCommit(const base::instance_id &Instance,
                    groups::log_position Position, base::time_point SentAt);
  /// \p Instance showed the end of its log in an answer to a request that was
  /// sent at \p SentAt.
  void recordPosition(const base::instance_id &Instance,
                      groups::log_position Position, base::time_point SentAt);
  /// \p Instance answered a status call that was sent at \p SentAt.
  void recordStatus(const base::instance_id &Instance,
                    const instance_status &Status, base::time_point SentAt);
  /// Another host holds a proof for \p Instance of \p ProvedAt.
  void recordProof(const base::instance_id &Instance,
                   groups::term_number NewTerm, base::time_point ProvedAt);
  /// \p Instance has rejected work of a primary.
  void recordNotPrimary(const base::instance_id &Instance);

  /// The latest proved primary; it may no longer be the primary.
  [[nodiscard]] const std::optional<base::instance_id> &primary() const {
    return Primary;
  }
  [[nodiscard]] groups::term_number term() const { return Term; }
  /// Highest term seen, also without proof.
  [[nodiscard]] groups::term_number highestTerm() const { return HighestTerm; }
  /// True while the primary holds every acknowledged commit.
  [[nodiscard]] bool isProved(base::time_point Now) const;
  [[nodiscard]] base::time_point provedAt() const { return ProvedAt; }

  /// A position that holds every commit acknowledged before \p Time: the one
  /// of the oldest dated_position since then, which most replicas have reached.
  [[nodiscard]] std::optional<groups::log_position>
  positionSince(base::time_point Time) const;

  /// A position of the primary's log and the time at which it was asked for.
  struct dated_position {
    base::time_point SentAt;
    groups::log_position Position;
  };
  [[nodiscard]] std::optional<dated_position> newestPosition() const;

  /// Statuses by instance, for promotions and dumps.
  struct dated_status {
    instance_status Status;
    base::time_point SentAt;
  };
  [[nodiscard]] const std::map<base::instance_id, dated_status> &
  statuses() const {
    return Statuses;
  }

  [[nodiscard]] base::json dump() const;

private:
  void prove(const base::instance_id &Instance, groups::term_number NewTerm,
             base::time_point SentAt);
  void proveFromStatuses();
  [[nodiscard]] std::optional<base::time_point>
  confirmedAt(const base::instance_id &Candidate,
              const dated_status &Dated) const;

  base::duration LeaseDuration;
  bool AreCommitsReplicated = false;
  std::set<base::instance_id> Members;
  std::optional<base::instance_id> Primary;
  groups::term_number Term = 0;
  groups::term_number HighestTerm = 0;
  base::time_point ProvedAt;
  bool HasProof = false;
  std::map<base::instance_id, dated_status> Statuses;
  std::deque<dated_position> Positions;
};

} // namespace radishrelay::sessions

#endif
