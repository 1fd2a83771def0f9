#include "radishrelay/sessions/group_leadership.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Evidence closer together than this adds nothing: replication delays are
/// longer.
constexpr base::duration EvidenceSpacing = std::chrono::milliseconds(20);
/// Evidence older than the largest staleness that routes accept is of no use.
constexpr base::duration EvidenceLifetime = std::chrono::seconds(10);

} // namespace

void group_leadership::setMembers(std::set<base::instance_id> NewMembers) {
  Members = std::move(NewMembers);
  std::erase_if(Conditions, [this](const auto &Entry) {
    return !Members.contains(Entry.first);
  });
}

void group_leadership::noteCommit(const base::instance_id &Instance,
                                  groups::log_position Position,
                                  base::time_point SentAt) {
  HighestTerm = std::max(HighestTerm, Position.Term);
  if (AreCommitsReplicated)
    prove(Instance, Position.Term, SentAt);
  notePosition(Instance, Position, SentAt);
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

void group_leadership::noteProof(const base::instance_id &Instance,
                                 groups::term_number NewTerm,
                                 base::time_point ProvedAt) {
  HighestTerm = std::max(HighestTerm, NewTerm);
  if (Members.contains(Instance))
    prove(Instance, NewTerm, ProvedAt);
}

std::optional<group_leadership::evidence>
group_leadership::newestEvidence() const {
  if (Evidence.empty() || Evidence.back().Position.Term != Term)
    return std::nullopt;
  return Evidence.back();
}

bool group_leadership::isProved(base::time_point Now) const {
  return HasProof && Primary && Now <= ProvedAt + LeaseDuration;
}

void group_leadership::notePosition(const base::instance_id &Instance,
                                    groups::log_position Position,
                                    base::time_point SentAt) {
  HighestTerm = std::max(HighestTerm, Position.Term);
  if (Primary != Instance || Position.Term != Term || !isProved(SentAt))
    return;
  while (!Evidence.empty() &&
         Evidence.front().SentAt < SentAt - EvidenceLifetime)
    Evidence.pop_front();
  if (Evidence.empty() || SentAt >= Evidence.back().SentAt + EvidenceSpacing)
    Evidence.push_back({SentAt, Position});
}

void group_leadership::noteCondition(const base::instance_id &Instance,
                                     const instance_condition &Condition,
                                     base::time_point SentAt) {
  HighestTerm =
      std::max({HighestTerm, Condition.Term, Condition.Received.Term});
  if (!Members.contains(Instance))
    return;
  Conditions[Instance] = {Condition, SentAt};
  proveFromConditions();
  if (Condition.Role == groups::instance_role::Primary)
    notePosition(Instance, Condition.Received, SentAt);
  else if (Primary == Instance && Condition.Term >= Term)
    noteNotPrimary(Instance);
}

std::optional<base::time_point>
group_leadership::confirmedAt(const base::instance_id &Candidate,
                              const dated_condition &Dated) const {
  if (Members.size() == 1)
    return Dated.SentAt;
  std::optional<base::time_point> Latest;
  for (const auto &[Other, OtherDated] : Conditions) {
    const instance_condition &Condition = OtherDated.Condition;
    bool Confirms = Other != Candidate &&
                    Condition.FencedTerm <= Dated.Condition.Term &&
                    Condition.Term <= Dated.Condition.Term;
    if (!Confirms)
      continue;
    base::time_point Both = std::min(Dated.SentAt, OtherDated.SentAt);
    Latest = Latest ? std::max(*Latest, Both) : Both;
  }
  return Latest;
}

void group_leadership::proveFromConditions() {
  for (const auto &[Instance, Dated] : Conditions) {
    if (Dated.Condition.Role != groups::instance_role::Primary ||
        Dated.Condition.FencedTerm > Dated.Condition.Term)
      continue;
    if (std::optional<base::time_point> At = confirmedAt(Instance, Dated))
      prove(Instance, Dated.Condition.Term, *At);
  }
}

void group_leadership::noteNotPrimary(const base::instance_id &Instance) {
  if (Primary == Instance)
    HasProof = false;
  Conditions.erase(Instance);
}

std::optional<groups::log_position>
group_leadership::positionSince(base::time_point Time) const {
  auto Found = std::ranges::lower_bound(Evidence, Time, {}, &evidence::SentAt);
  if (Found == Evidence.end())
    return std::nullopt;
  return Found->Position;
}

base::json group_leadership::dump() const {
  base::json Result = base::json::object();
  Result["primary"] = Primary ? Primary->str() : "";
  Result["term"] = Term;
  Result["highest_term"] = HighestTerm;
  Result["proved_at_us"] = HasProof ? base::toMicroseconds(ProvedAt) : 0;
  Result["evidence"] = Evidence.size();
  Result["members"] = Members.size();
  return Result;
}

} // namespace radishrelay::sessions
