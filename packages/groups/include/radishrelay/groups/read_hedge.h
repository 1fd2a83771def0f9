#ifndef RADISHRELAY_GROUPS_READ_HEDGE_H
#define RADISHRELAY_GROUPS_READ_HEDGE_H

#include "radishrelay/base/latency_summary.h"
#include "radishrelay/groups/hedge_budget.h"
#include "radishrelay/groups/read_decision.h"
#include "radishrelay/groups/read_request.h"
#include "radishrelay/groups/read_router.h"

#include <optional>

namespace radishrelay::groups {

/// Decides on a second copy of a slow idempotent read on another instance.
class read_hedge {
public:
  explicit read_hedge(hedge_budget Budget = hedge_budget()) : Budget(Budget) {}

  /// Records the latency of a read that ended.
  void observe(base::duration Latency);

  /// When the copy of a read that was sent at \p SentAt is due: once it takes
  /// longer than 99% of the reads. Empty while too few reads are known.
  [[nodiscard]] std::optional<base::time_point>
  dueAt(base::time_point SentAt) const;

  /// Called at that time; returns the other instance to run the read on, if
  /// one can serve it now and the budget allows.
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
