#include "radishrelay/sessions/detail/evacuations.h"

#include "radishrelay/base/rendezvous.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace radishrelay::sessions::detail {

void evacuations::recordRead(const std::set<base::failure_domain_id> &Read,
                             std::uint64_t History,
                             std::optional<base::time_point> ConfirmedAt,
                             base::time_point Now) {
  bool IsRestored = LastHistory && History > *LastHistory;
  LastHistory = std::max(LastHistory.value_or(History), History);
  std::string Text;
  for (const base::failure_domain_id &Domain : Read) {
    Text += Domain.str() + '\n';
    auto [Entry, IsNew] = Domains.try_emplace(Domain);
    Entry->second.RetainedUntil.reset();
    if (!IsNew)
      continue;
    // The request may be as old as the time since the last confirmation.
    Entry->second.ClosesAt = ConfirmedAt ? *ConfirmedAt + UsePeriod : Now;
    Changes.TakenBack.erase(Domain);
    Changes.Evacuated.insert(Domain);
  }
  Digest = Read.empty() ? 0 : base::stableHash(Text);
  std::vector<base::failure_domain_id> Missing;
  for (auto &[Domain, State] : Domains) {
    if (Read.contains(Domain))
      continue;
    if (IsRestored && !State.RetainedUntil)
      State.RetainedUntil = Now + ReturnPeriod;
    if (!State.RetainedUntil)
      Missing.push_back(Domain);
  }
  for (const base::failure_domain_id &Domain : Missing)
    takeBack(Domain);
}

void evacuations::takeBack(const base::failure_domain_id &Domain) {
  Domains.erase(Domain);
  Changes.Evacuated.erase(Domain);
  Changes.Closed.erase(Domain);
  Changes.TakenBack.insert(Domain);
}

evacuations::changes evacuations::advance(base::time_point Now) {
  std::vector<base::failure_domain_id> Expired;
  for (auto &[Domain, State] : Domains) {
    if (State.RetainedUntil && Now >= *State.RetainedUntil) {
      Expired.push_back(Domain);
    } else if (!State.IsClosed && Now >= State.ClosesAt) {
      State.IsClosed = true;
      Changes.Closed.insert(Domain);
    }
  }
  for (const base::failure_domain_id &Domain : Expired)
    takeBack(Domain);
  return std::exchange(Changes, {});
}

base::time_point evacuations::nextWake() const {
  base::time_point Next = base::time_point::max();
  for (const auto &[Domain, State] : Domains) {
    if (!State.IsClosed)
      Next = std::min(Next, State.ClosesAt);
    if (State.RetainedUntil)
      Next = std::min(Next, *State.RetainedUntil);
  }
  return Next;
}

bool evacuations::isClosed(const base::failure_domain_id &Domain) const {
  auto Entry = Domains.find(Domain);
  return Entry != Domains.end() && Entry->second.IsClosed;
}

std::set<base::failure_domain_id> evacuations::evacuated() const {
  std::set<base::failure_domain_id> Result;
  for (const auto &[Domain, State] : Domains)
    Result.insert(Domain);
  return Result;
}

std::set<base::failure_domain_id> evacuations::closed() const {
  std::set<base::failure_domain_id> Result;
  for (const auto &[Domain, State] : Domains)
    if (State.IsClosed)
      Result.insert(Domain);
  return Result;
}

void evacuations::recordStatement(const base::failure_domain_id &Domain,
                                  base::time_point Now) {
  auto Entry = Domains.find(Domain);
  if (Entry != Domains.end())
    Entry->second.LastStatementAt = Now;
}

std::optional<base::time_point>
evacuations::lastStatementAt(const base::failure_domain_id &Domain) const {
  auto Entry = Domains.find(Domain);
  return Entry == Domains.end() ? std::nullopt : Entry->second.LastStatementAt;
}

base::json evacuations::dump() const {
  base::json Result = base::json::object();
  for (const auto &[Domain, State] : Domains)
    Result[Domain.str()] = {
        {"closed", State.IsClosed},
        {"closes_at_us", base::toMicroseconds(State.ClosesAt)},
        {"retained", State.RetainedUntil.has_value()}};
  return Result;
}

} // namespace radishrelay::sessions::detail
