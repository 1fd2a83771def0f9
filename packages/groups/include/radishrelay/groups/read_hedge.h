#ifndef RADISHRELAY_GROUPS_READ_HEDGE_H
#define RADISHRELAY_GROUPS_READ_HEDGE_H

#include "radishrelay/base/latency_summary.h"
#include "radishrelay/groups/hedge_budget.h"
#include "radishrelay/groups/read_decision.h"
#include "radishrelay/groups/read_request.h"
#include "radishrelay/groups/read_router.h"

#include <optional>

namespace radishrelay::groups {

/// Decides whether a slow idempotent read is hedged, that is, sent a second
/// time to another instance.
class read_hedge {
public:
  explicit read_hedge(hedge_budget Budget = hedge_budget()) : Budget(Budget) {}

  /// Records the latency of a completed read.
  void observe(base::duration Latency);

  /// Returns when a read that was sent at \p SentAt is to be hedged: once it
  /// takes longer than 99% of the reads. Empty while too few reads were
  /// recorded.
  [[nodiscard]] std::optional<base::time_point>
  dueAt(base::time_point SentAt) const;

  /// Called at the time that dueAt() returned. Returns the run of the second
  /// copy on a replica other than \p First, or empty when no such replica can
  /// serve the read now or the budget is exhausted.
  std::optional<run_read> decide(const read_router &Router,
                                 read_request Request,
                                 const base::instance_id &First,
                                 base::time_point Now);

  [[nodiscard]] base::json dump() const;

private:
  hedge_budget Budget;
  base::latency_summary Latencies;
};

} // namespace radishrelay::groups

#endif
