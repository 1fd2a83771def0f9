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

/// What the claim of a group says about its terms.
struct claim_view {
  /// Highest term that an announced order may have led to.
  groups::term_number AnnouncedTerm = 0;
  /// Whether a host may be about to announce a later term.
  bool IsAttemptInProgress = false;

  friend bool operator==(const claim_view &, const claim_view &) = default;
};

/// Tracks what this host can prove about the primary of one database group.
///
/// A promotion first fences all instances but one, then waits for the lease
/// duration. If, after some time point, the primary and one other instance were
/// both unfenced, no promotion takes effect before that time point plus the
/// lease duration, and the primary holds every acknowledged commit until then.
/// An acknowledged commit proves this by itself, since a replica has received
/// it; otherwise the statuses of two instances are needed.
class group_leadership {
public:
  explicit group_leadership(base::duration LeaseDuration)
      : LeaseDuration(LeaseDuration) {}

  /// Sets the instances that may belong to the group.
  void setMembers(std::set<base::instance_id> NewMembers);
  /// Sets whether an acknowledged commit is held by at least one replica.
  void setCommitsReplicated(bool Value) { AreCommitsReplicated = Value; }

  /// Records that \p Instance acknowledged a commit sent at \p SentAt.
  void recordCommit(const base::instance_id &Instance,
                    groups::log_position Position, base::time_point SentAt);
  /// Records the end of the log of \p Instance, as reported in an answer to a
  /// request sent at \p SentAt.
  void recordPosition(const base::instance_id &Instance,
                      groups::log_position Position, base::time_point SentAt);
  /// Records the answer of \p Instance to a status call sent at \p SentAt.
  void recordStatus(const base::instance_id &Instance,
                    const instance_status &Status, base::time_point SentAt);
  /// Records that a promotion to \p LedTerm has taken effect.
  void recordTerm(groups::term_number LedTerm);
  /// Records that another host proved \p Instance at \p ProvedAt.
  void recordProof(const base::instance_id &Instance,
                   groups::term_number NewTerm, base::time_point ProvedAt);
  /// Records that \p Instance rejected work that only a primary accepts.
  void recordNotPrimary(const base::instance_id &Instance);

  /// The latest proved primary; it may have been replaced since.
  [[nodiscard]] const std::optional<base::instance_id> &primary() const {
    return Primary;
  }
  [[nodiscard]] groups::term_number term() const { return Term; }
  /// Highest term reported by any instance or host, with or without a proof.
  [[nodiscard]] groups::term_number highestTerm() const { return HighestTerm; }
  /// Whether the proof is valid at \p Now, so that the primary holds every
  /// acknowledged commit.
  [[nodiscard]] bool isProved(base::time_point Now) const;
  [[nodiscard]] base::time_point provedAt() const { return ProvedAt; }

  /// Returns a position that covers every commit acknowledged before \p Time:
  /// the oldest one recorded since then, because most replicas have reached it.
  [[nodiscard]] std::optional<groups::log_position>
  positionSince(base::time_point Time) const;

  /// A position in the primary's log, with the time at which the request that
  /// reported it was sent.
  struct dated_position {
    base::time_point SentAt;
    groups::log_position Position;
  };
  /// The newest position recorded in the current term.
  [[nodiscard]] std::optional<dated_position> newestPosition() const;

  /// Latest status of an instance, with the send time of the status call.
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
