#ifndef RADISHRELAY_GROUPS_MAJORITY_STRATEGY_H
#define RADISHRELAY_GROUPS_MAJORITY_STRATEGY_H

#include "radishrelay/groups/acknowledgement_strategy.h"

namespace radishrelay::groups {

/// Acknowledges a write once a majority of the instances holds it in their logs
/// and is not raised above the write's term. The instances alone allocate
/// terms: the promoter whose raises succeed on a majority owns the term.
class majority_strategy : public acknowledgement_strategy {
public:
  [[nodiscard]] std::string_view name() const override { return "majority"; }
  [[nodiscard]] write_verdict evaluate(const committed_write &Write,
                                       const status_table &Statuses,
                                       const term_lease &Lease,
                                       base::time_point Now) const override;
  [[nodiscard]] bool needsStatuses() const override { return true; }
  [[nodiscard]] bool allocatesTermInStore() const override { return false; }
  [[nodiscard]] bool waitsForLeases() const override { return false; }
};

/// True when \p Dated proves at \p Now that its instance holds \p Write and
/// was not raised above the write's term.
bool confirmsWrite(const dated_status &Dated, const committed_write &Write,
                   base::time_point Now);

} // namespace radishrelay::groups

#endif
