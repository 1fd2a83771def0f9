#include "replicated_log.h"

#include <algorithm>

namespace radishrelay::backend::detail {

using groups::instance_role;
using groups::log_offset;
using groups::log_position;

log_position replicated_log::position() const {
  return {TermStarts.back().Term, Entries.size()};
}

groups::instance_status replicated_log::status(base::time_point Now) const {
  groups::instance_status Status;
  Status.Role = Role;
  Status.Position = position();
  Status.RaisedTerm = RaisedTerm;
  Status.TermStarts = TermStarts;
  if (Role == instance_role::Replica && CaughtUpAt)
    Status.AppliedAge = std::max(Now - *CaughtUpAt, base::duration::zero());
  return Status;
}

bool replicated_log::mayCommit() const {
  return Role == instance_role::Primary && RaisedTerm <= position().Term;
}

void replicated_log::append(log_entry Entry) {
  Entries.push_back(std::make_shared<const log_entry>(std::move(Entry)));
}

bool replicated_log::raise(groups::term_number Term) {
  if (Term <= RaisedTerm)
    return false;
  RaisedTerm = Term;
  return true;
}

bool replicated_log::promote(groups::term_number Term) {
  if (RaisedTerm != Term)
    return false;
  if (position().Term == Term)
    return Role == instance_role::Primary;
  TermStarts.push_back({Term, Entries.size()});
  Role = instance_role::Primary;
  CaughtUpAt.reset();
  return true;
}

bool replicated_log::accepts(const replicated_log &Primary) const {
  groups::term_number Term = Primary.position().Term;
  if (Primary.Role != instance_role::Primary || Term < RaisedTerm)
    return false;
  return Role == instance_role::Replica || Term > position().Term;
}

log_offset replicated_log::endOfTerm(std::size_t Index) const {
  bool IsLast = Index + 1 == TermStarts.size();
  return IsLast ? Entries.size() : TermStarts[Index + 1].Offset;
}

/// Logs agree up to the end of the shorter part of the last term that starts
/// at the same offset in both, since a term has one primary.
log_offset replicated_log::commonLength(const replicated_log &Other) const {
  log_offset Common = 0;
  std::size_t Terms = std::min(TermStarts.size(), Other.TermStarts.size());
  for (std::size_t Index = 0; Index < Terms; ++Index) {
    if (TermStarts[Index] != Other.TermStarts[Index])
      break;
    Common = std::min(endOfTerm(Index), Other.endOfTerm(Index));
    if (endOfTerm(Index) != Other.endOfTerm(Index))
      break;
  }
  return Common;
}

void replicated_log::truncate(log_offset Length) {
  if (Length == Entries.size())
    return;
  Entries.resize(Length);
  ++Truncations;
  CaughtUpAt.reset();
}

bool replicated_log::follow(const replicated_log &Primary,
                            base::time_point SeenUntil) {
  log_position Before = position();
  bool WasPrimary = Role == instance_role::Primary;
  Role = instance_role::Replica;
  RaisedTerm = std::max(RaisedTerm, Primary.position().Term);
  truncate(commonLength(Primary));
  while (Entries.size() < Primary.Entries.size() &&
         Primary.Entries[Entries.size()]->CommittedAt <= SeenUntil)
    Entries.push_back(Primary.Entries[Entries.size()]);
  // A term becomes known only with all entries before its start. A replica
  // that lacks some would otherwise count as more advanced than one of the
  // older term that has them.
  TermStarts = Primary.TermStarts;
  std::erase_if(TermStarts, [this](const log_position &Start) {
    return Start.Offset > Entries.size();
  });
  CaughtUpAt = std::max(CaughtUpAt.value_or(SeenUntil), SeenUntil);
  return WasPrimary || position() != Before;
}

std::optional<base::time_point>
replicated_log::nextCommit(const replicated_log &Primary) const {
  if (Entries.size() >= Primary.Entries.size())
    return std::nullopt;
  return Primary.Entries[Entries.size()]->CommittedAt;
}

} // namespace radishrelay::backend::detail
