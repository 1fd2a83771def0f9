#ifndef RADISHRELAY_GROUPS_STATUS_TABLE_H
#define RADISHRELAY_GROUPS_STATUS_TABLE_H

#include "radishrelay/base/json.h"
#include "radishrelay/groups/instance_answer.h"

#include <map>

namespace radishrelay::groups {

/// A status with the time until which it may be used.
struct dated_status {
  instance_status Status;
  base::time_point AskedAt;
  base::time_point Deadline;

  friend bool operator==(const dated_status &, const dated_status &) = default;
};

/// The latest status of each instance of a database group, by the time at
/// which it was asked for.
class status_table {
public:
  explicit status_table(std::vector<base::instance_id> Instances);

  /// Keeps the status of an answer that was asked later than the one kept.
  /// Returns false for answers without a status, of an instance outside the
  /// group, or out of order.
  bool record(const instance_answer &Answer);

  /// The status of \p Instance, also after its deadline; null if none.
  [[nodiscard]] const dated_status *find(const base::instance_id &) const;

  [[nodiscard]] const std::vector<base::instance_id> &instances() const {
    return Instances;
  }
  [[nodiscard]] std::size_t majority() const {
    return Instances.size() / 2 + 1;
  }

  /// Highest term that any log entry or raise has shown.
  [[nodiscard]] term_number highestTerm() const;

  /// True when a term above \p Term has a primary or holds a majority, so that
  /// no further write of \p Term can reach a majority.
  [[nodiscard]] bool isSuperseded(term_number Term) const;

  [[nodiscard]] base::json dump() const;

private:
  std::vector<base::instance_id> Instances;
  std::map<base::instance_id, dated_status> Latest;
};

/// Returns the position of the last log entry. An instance that follows a new
/// primary may name its term before it holds the entries in front of the
/// term's start; comparing by that term would rank it above complete logs.
log_position lastEntry(const instance_status &Status);

} // namespace radishrelay::groups

#endif
