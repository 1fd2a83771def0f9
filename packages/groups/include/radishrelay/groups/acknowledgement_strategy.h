#ifndef RADISHRELAY_GROUPS_ACKNOWLEDGEMENT_STRATEGY_H
#define RADISHRELAY_GROUPS_ACKNOWLEDGEMENT_STRATEGY_H

#include "radishrelay/groups/committed_write.h"
#include "radishrelay/groups/status_table.h"
#include "radishrelay/groups/term_lease.h"
#include "radishrelay/groups/write_verdict.h"

#include <string_view>

namespace radishrelay::groups {

/// Decides when a write that the primary committed may be acknowledged to the
/// caller, and which rules a promoter must follow so that a failover does not
/// contradict the acknowledgement. Stateless; one object serves all groups.
class acknowledgement_strategy {
public:
  virtual ~acknowledgement_strategy() = default;

  [[nodiscard]] virtual std::string_view name() const = 0;

  /// Returns the state of \p Write at \p Now according to the instances'
  /// statuses and this host's term lease. A default-constructed lease means
  /// that none is held.
  [[nodiscard]] virtual write_verdict evaluate(const committed_write &Write,
                                               const status_table &Statuses,
                                               const term_lease &Lease,
                                               base::time_point Now) const = 0;

  /// True when acknowledging a write requires statuses of the instances, so
  /// that the tracker has to request them.
  [[nodiscard]] virtual bool needsStatuses() const = 0;

  /// True when a promoter allocates its term by a conditional write in the
  /// table service; false when it owns a term once its raises have succeeded on
  /// a majority of the instances.
  [[nodiscard]] virtual bool allocatesTermInStore() const = 0;

  /// True when a promoter must wait until all leases on older terms have
  /// expired before it raises its own term.
  [[nodiscard]] virtual bool waitsForLeases() const = 0;
};

} // namespace radishrelay::groups

#endif
