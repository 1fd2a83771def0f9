#ifndef RADISHRELAY_GROUPS_STATUS_TABLE_H
#define RADISHRELAY_GROUPS_STATUS_TABLE_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/instance_answer.h"

#include <map>

namespace radishrelay::groups {

/// A status of an instance with the period to which it applies. Decisions on
/// writes and failover use it as evidence until its deadline, since the
/// instance may have changed afterwards.
struct dated_status {
  instance_status Status;
  /// When the status was requested.
  base::time_point AskedAt;
  /// From this time on the status is no longer evidence.
  base::time_point Deadline;

  friend bool operator==(const dated_status &, const dated_status &) = default;
};

/// Latest known status of each instance of a database group. Statuses are
/// ordered by the time at which they were requested.
class status_table {
public:
  explicit status_table(std::vector<base::instance_id> Instances);

  /// Stores the status of \p Answer unless a status that was requested later is
  /// stored already. Returns false when nothing was stored: the answer has no
  /// status, its instance is not in the group, or it arrived out of order.
  bool record(const instance_answer &Answer);

  /// Returns the latest status of an instance, even after its deadline, or null
  /// if there is none.
  [[nodiscard]] const dated_status *find(const base::instance_id &) const;

  [[nodiscard]] const std::vector<base::instance_id> &instances() const {
    return Instances;
  }
  [[nodiscard]] std::size_t majority() const {
    return Instances.size() / 2 + 1;
  }

  /// Returns the highest term in any status, as the term of the log or as the
  /// raised term.
  [[nodiscard]] term_number highestTerm() const;

  /// True when an instance has a log of a higher term than \p Term, or a
  /// majority of the instances is raised above \p Term. Then no further write
  /// of \p Term can reach a majority.
  [[nodiscard]] bool isSuperseded(term_number Term) const;

  [[nodiscard]] base::json dump() const;

private:
  std::vector<base::instance_id> Instances;
  std::map<base::instance_id, dated_status> Latest;
};

/// Returns the end of the instance's log with the term of its last entry. An
/// instance that follows a new primary may report the new term before it holds
/// the entries that precede the term's start; comparing logs by the reported
/// term would rank such an instance above instances with complete logs.
log_position lastEntry(const instance_status &Status);

} // namespace radishrelay::groups

#endif
