#include "radishrelay/sessions/group_leadership.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Minimum time between recorded positions; replication delays are longer than
/// this, so closer positions would not add information.
constexpr base::duration MinPositionInterval = std::chrono::milliseconds(20);
/// Time after which a position is discarded: the largest staleness that routes
/// accept.
constexpr base::duration PositionLifetime = std::chrono::seconds(10);

} // namespace

void group_leadership::setMembers(std::set<base::instance_id> NewMembers) {
  Members = std::move(NewMembers);
  std::erase_if(Statuses, [this](const auto &Entry) {
    return !Members.contains(Entry.first);
  });
}

void group_leadership::recordTerm(groups::term_number LedTerm) {
  HighestTerm = std::max(HighestTerm, LedTerm);
}

void group_leadership::recordCommit(const base::instance_id &Instance,
                                    groups::log_position Position,
                                    base::time_point SentAt) {
  HighestTerm = std::max(HighestTerm, Position.Term);
  if (AreCommitsReplicated)
    prove(Instance, Position.Term, SentAt);
  recordPosition(Instance, Position, SentAt);
}

void group_leadership::prove(const base::instance_id &Instance,
                             groups::term_number NewTerm,
                             base::time_point SentAt) {
  if (NewTerm < Term)
    return;
  bool IsNew = NewTerm > Term || Primary != Instance;
  if (IsNew) {
    Primary = Instance;
    Term = NewTerm;
    ProvedAt = SentAt;
  } else {
    ProvedAt = HasProof ? std::max(ProvedAt, SentAt) : SentAt;
  }
  HasProof = true;
}

void group_leadership::recordProof(const base::instance_id &Instance,
                                   groups::term_number NewTerm,
                                   base::time_point ProvedAt) {
  HighestTerm = std::max(HighestTerm, NewTerm);
  if (Members.contains(Instance))
    prove(Instance, NewTerm, ProvedAt);
}

std::optional<group_leadership::dated_position>
group_leadership::newestPosition() const {
  if (Positions.empty() || Positions.back().Position.Term != Term)
    return std::nullopt;
  return Positions.back();
}

bool group_leadership::isProved(base::time_point Now) const {
  return HasProof && Primary && Now <= ProvedAt + LeaseDuration;
}

void group_leadership::recordPosition(const base::instance_id &Instance,
                                      groups::log_position Position,
                                      base::time_point SentAt) {
  HighestTerm = std::max(HighestTerm, Position.Term);
  if (Primary != Instance || Position.Term != Term || !isProved(SentAt))
    return;
  while (!Positions.empty() &&
         Positions.front().SentAt < SentAt - PositionLifetime)
    Positions.pop_front();
  if (Positions.empty() ||
      SentAt >= Positions.back().SentAt + MinPositionInterval)
    Positions.push_back({SentAt, Position});
}

void group_leadership::recordStatus(const base::instance_id &Instance,
                                    const instance_status &Status,
                                    base::time_point SentAt) {
  HighestTerm = std::max({HighestTerm, Status.Term, Status.Received.Term});
  if (!Members.contains(Instance))
    return;
  auto Known = Statuses.find(Instance);
  if (Known != Statuses.end() && SentAt < Known->second.SentAt)
    return;
  Statuses[Instance] = {Status, SentAt};
  proveFromStatuses();
  if (Status.Role == groups::instance_role::Primary)
    recordPosition(Instance, Status.Received, SentAt);
  else if (Primary == Instance && Status.Term >= Term)
    recordNotPrimary(Instance);
}

std::optional<base::time_point>
group_leadership::confirmedAt(const base::instance_id &Candidate,
                              const dated_status &Dated) const {
  if (Members.size() == 1)
    return Dated.SentAt;
  std::optional<base::time_point> Latest;
  for (const auto &[Other, OtherDated] : Statuses) {
    const instance_status &Status = OtherDated.Status;
    bool Confirms = Other != Candidate &&
                    Status.FencedTerm <= Dated.Status.Term &&
                    Status.Term <= Dated.Status.Term;
    if (!Confirms)
      continue;
    base::time_point Both = std::min(Dated.SentAt, OtherDated.SentAt);
    Latest = Latest ? std::max(*Latest, Both) : Both;
  }
  return Latest;
}

void group_leadership::proveFromStatuses() {
  for (const auto &[Instance, Dated] : Statuses) {
    if (Dated.Status.Role != groups::instance_role::Primary ||
        Dated.Status.FencedTerm > Dated.Status.Term)
      continue;
    if (std::optional<base::time_point> At = confirmedAt(Instance, Dated))
      prove(Instance, Dated.Status.Term, *At);
  }
}

void group_leadership::recordNotPrimary(const base::instance_id &Instance) {
  if (Primary == Instance)
    HasProof = false;
  Statuses.erase(Instance);
}

std::optional<groups::log_position>
group_leadership::positionSince(base::time_point Time) const {
  auto Found =
      std::ranges::lower_bound(Positions, Time, {}, &dated_position::SentAt);
  if (Found == Positions.end())
    return std::nullopt;
  return Found->Position;
}

base::json group_leadership::dump() const {
  base::json Result = base::json::object();
  Result["primary"] = Primary ? Primary->str() : "";
  Result["term"] = Term;
  Result["highest_term"] = HighestTerm;
  Result["proved_at_us"] = HasProof ? base::toMicroseconds(ProvedAt) : 0;
  Result["evidence"] = Positions.size();
  Result["members"] = Members.size();
  return Result;
}

} // namespace radishrelay::sessions
