#ifndef RADISHRELAY_GROUPS_TERM_LEASE_STRATEGY_H
#define RADISHRELAY_GROUPS_TERM_LEASE_STRATEGY_H

#include "radishrelay/groups/acknowledgement_strategy.h"

namespace radishrelay::groups {

/// Acknowledges a committed write immediately while this host holds a lease on
/// the write's term. Replication is asynchronous, so a failover can lose
/// acknowledged writes. Kept for measurements.
class term_lease_strategy : public acknowledgement_strategy {
public:
  [[nodiscard]] std::string_view name() const override { return "term_lease"; }
  [[nodiscard]] write_verdict evaluate(const committed_write &Write,
                                       const status_table &Statuses,
                                       const term_lease &Lease,
                                       base::time_point Now) const override;
  [[nodiscard]] bool needsStatuses() const override { return false; }
  [[nodiscard]] bool allocatesTermInStore() const override { return true; }
  [[nodiscard]] bool waitsForLeases() const override { return true; }
};

} // namespace radishrelay::groups

#endif
