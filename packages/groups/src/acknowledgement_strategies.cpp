#include "radishrelay/groups/stored_term_majority_strategy.h"
#include "radishrelay/groups/term_lease_strategy.h"

#include <algorithm>

namespace radishrelay::groups {

bool confirmsWrite(const dated_status &Dated, const committed_write &Write,
                   base::time_point Now) {
  // A status requested before the commit answer arrived may describe the
  // instance as it was under an earlier primary.
  if (Dated.AskedAt < Write.CommittedAt || Now >= Dated.Deadline)
    return false;
  if (Dated.Status.RaisedTerm > Write.Position.Term)
    return false;
  log_position Last = lastEntry(Dated.Status);
  return Last.Term == Write.Position.Term &&
         Last.Offset >= Write.Position.Offset;
}

write_verdict majority_strategy::evaluate(const committed_write &Write,
                                          const status_table &Statuses,
                                          const term_lease & /*Lease*/,
                                          base::time_point Now) const {
  if (Statuses.isSuperseded(Write.Position.Term))
    return {write_state::Superseded, {}};
  std::size_t Confirmations = 0;
  base::time_point ValidUntil = Write.Deadline;
  for (const base::instance_id &Instance : Statuses.instances()) {
    const dated_status *Dated = Statuses.find(Instance);
    if (Dated == nullptr || !confirmsWrite(*Dated, Write, Now))
      continue;
    ++Confirmations;
    ValidUntil = std::min(ValidUntil, Dated->Deadline);
  }
  if (Confirmations < Statuses.majority())
    return {};
  return {write_state::Acknowledged, ValidUntil};
}

write_verdict term_lease_strategy::evaluate(const committed_write &Write,
                                            const status_table & /*Statuses*/,
                                            const term_lease &Lease,
                                            base::time_point Now) const {
  if (Lease.Term > Write.Position.Term)
    return {write_state::Superseded, {}};
  if (Lease.Term < Write.Position.Term || Now >= Lease.Deadline)
    return {};
  return {write_state::Acknowledged, std::min(Write.Deadline, Lease.Deadline)};
}

} // namespace radishrelay::groups
