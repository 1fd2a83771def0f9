#ifndef RADISHRELAY_GROUPS_ACKNOWLEDGEMENT_STRATEGY_H
#define RADISHRELAY_GROUPS_ACKNOWLEDGEMENT_STRATEGY_H

#include "radishrelay/groups/committed_write.h"
#include "radishrelay/groups/status_table.h"
#include "radishrelay/groups/term_lease.h"
#include "radishrelay/groups/write_verdict.h"

#include <string_view>

namespace radishrelay::groups {

/// Decides when a committed write is safe to acknowledge, and which rules the
/// promoter has to keep for that. Stateless; one object serves all groups.
class acknowledgement_strategy {
public:
  virtual ~acknowledgement_strategy() = default;

  [[nodiscard]] virtual std::string_view name() const = 0;

  /// Judges a write at \p Now by statuses and, if known, the term lease.
  [[nodiscard]] virtual write_verdict evaluate(const committed_write &Write,
                                               const status_table &Statuses,
                                               const term_lease &Lease,
                                               base::time_point Now) const = 0;

  /// True when writes wait for statuses of the instances.
  [[nodiscard]] virtual bool needsStatuses() const = 0;

  /// True when a term is allocated by a conditional write in the table
  /// service; else a majority of successful raises allocates it.
  [[nodiscard]] virtual bool allocatesTermInStore() const = 0;

  /// True when a promoter has to wait until leases of older terms have ended.
  [[nodiscard]] virtual bool waitsForLeases() const = 0;
};

} // namespace radishrelay::groups

#endif
