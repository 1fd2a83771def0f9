#include "radishrelay/groups/status_table.h"

#include <algorithm>

namespace radishrelay::groups {

status_table::status_table(std::vector<base::instance_id> Instances)
    : Instances(std::move(Instances)) {}

bool status_table::record(const instance_answer &Answer) {
  const base::instance_id &Instance = Answer.Call.Instance;
  if (!Answer.Status ||
      std::ranges::find(Instances, Instance) == Instances.end())
    return false;
  auto Known = Latest.find(Instance);
  if (Known != Latest.end() && Known->second.AskedAt > Answer.AskedAt)
    return false;
  Latest[Instance] = {*Answer.Status, Answer.AskedAt, Answer.Call.Deadline};
  return true;
}

const dated_status *
status_table::find(const base::instance_id &Instance) const {
  auto Known = Latest.find(Instance);
  return Known == Latest.end() ? nullptr : &Known->second;
}

term_number status_table::highestTerm() const {
  term_number Highest = 0;
  for (const auto &[Instance, Dated] : Latest)
    Highest = std::max(
        {Highest, Dated.Status.Position.Term, Dated.Status.RaisedTerm});
  return Highest;
}

bool status_table::isSuperseded(term_number Term) const {
  std::size_t Raised = 0;
  for (const auto &[Instance, Dated] : Latest) {
    if (Dated.Status.Position.Term > Term)
      return true;
    if (Dated.Status.RaisedTerm > Term)
      ++Raised;
  }
  return Raised >= majority();
}

base::json status_table::dump() const {
  base::json Object = base::json::object();
  for (const auto &[Instance, Dated] : Latest)
    Object[Instance.str()] = {
        {"term", Dated.Status.Position.Term},
        {"position", Dated.Status.Position.Offset},
        {"raised_term", Dated.Status.RaisedTerm},
        {"primary", Dated.Status.Role == instance_role::Primary},
        {"asked_at_us", base::toMicroseconds(Dated.AskedAt)},
        {"deadline_us", base::toMicroseconds(Dated.Deadline)}};
  return Object;
}

log_position lastEntry(const instance_status &Status) {
  // A log can lack the entries of some terms. Its last entry belongs to the
  // latest term that starts within the log, which is not necessarily the
  // predecessor of the next listed start.
  log_position Last = Status.Position;
  bool IsBehindStart =
      std::ranges::any_of(Status.TermStarts, [&](const log_position &Start) {
        return Start.Offset > Status.Position.Offset;
      });
  if (!IsBehindStart)
    return Last;
  Last.Term = 0;
  for (const log_position &Start : Status.TermStarts)
    if (Start.Offset <= Status.Position.Offset)
      Last.Term = std::max(Last.Term, Start.Term);
  return Last;
}

} // namespace radishrelay::groups
