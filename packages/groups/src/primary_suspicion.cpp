#include "radishrelay/groups/primary_suspicion.h"

#include <algorithm>

namespace radishrelay::groups {

namespace {

// One failure domain that is cut off from the primary must not replace it.
constexpr std::size_t RequiredDomains = 2;

} // namespace

void primary_suspicion::setTerm(term_number NewTerm) {
  if (NewTerm == Term)
    return;
  Term = NewTerm;
  Failures = 0;
  Agreeing.clear();
}

void primary_suspicion::receive(const suspicion &Message,
                                base::time_point Now) {
  if (Message.Group != Options.Group || Message.Term != Term)
    return;
  if (Message.FailureDomain != Options.FailureDomain)
    Agreeing[Message.FailureDomain] = Now + Options.SuspicionLifetime;
}

void primary_suspicion::setReachable(const reachable_domains &NewReachable) {
  Reachable = NewReachable.Domains;
}

bool primary_suspicion::isSuspected() const {
  return Failures >= Options.FailedProbes;
}

bool primary_suspicion::isReported(base::time_point Now) const {
  return std::ranges::any_of(
      Agreeing, [Now](const auto &Entry) { return Now < Entry.second; });
}

bool primary_suspicion::isConfirmed(bool OthersRespond,
                                    base::time_point Now) const {
  if (!isSuspected())
    return false;
  std::set<base::failure_domain_id> Domains = {Options.FailureDomain};
  for (const auto &[Domain, Deadline] : Agreeing)
    if (Now < Deadline)
      Domains.insert(Domain);
  if (Domains.size() >= RequiredDomains)
    return true;
  // Without news from the membership nothing is known to be unreachable.
  return OthersRespond && !Reachable.empty() &&
         std::ranges::includes(Domains, Reachable);
}

suspicion primary_suspicion::message() const {
  return {Options.Group, Term, Options.Host, Options.FailureDomain};
}

base::json primary_suspicion::dump() const {
  base::json Domains = base::json::object();
  for (const auto &[Domain, Deadline] : Agreeing)
    Domains[Domain.str()] = base::toMicroseconds(Deadline);
  return {{"term", Term},
          {"failed_probes", Failures},
          {"suspected", isSuspected()},
          {"agreeing_until_us", Domains}};
}

} // namespace radishrelay::groups
