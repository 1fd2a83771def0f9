#include "radishrelay/groups/primary_failure_detector.h"

#include <algorithm>

namespace radishrelay::groups {

namespace {

// Hosts of a single failure domain that cannot reach the primary must not
// replace it.
constexpr std::size_t RequiredDomains = 2;

} // namespace

void primary_failure_detector::setTerm(term_number NewTerm) {
  if (NewTerm == Term)
    return;
  Term = NewTerm;
  Failures = 0;
  VoteDeadlines.clear();
}

void primary_failure_detector::receive(const promotion_vote &Message,
                                       base::time_point Now) {
  if (Message.Group != Options.Group || Message.Term != Term)
    return;
  if (Message.FailureDomain != Options.FailureDomain)
    VoteDeadlines[Message.FailureDomain] = Now + Options.VoteLifetime;
}

void primary_failure_detector::setReachableDomains(
    const reachable_domains &NewReachable) {
  Reachable = NewReachable.Domains;
}

bool primary_failure_detector::isSuspected() const {
  return Failures >= Options.FailedProbeThreshold;
}

bool primary_failure_detector::hasVote(base::time_point Now) const {
  return std::ranges::any_of(
      VoteDeadlines, [Now](const auto &Entry) { return Now < Entry.second; });
}

bool primary_failure_detector::isConfirmed(bool OthersRespond,
                                           base::time_point Now) const {
  if (!isSuspected())
    return false;
  std::set<base::failure_domain_id> Domains = {Options.FailureDomain};
  for (const auto &[Domain, Deadline] : VoteDeadlines)
    if (Now < Deadline)
      Domains.insert(Domain);
  if (Domains.size() >= RequiredDomains)
    return true;
  // Until the membership has reported the reachable domains, no domain may be
  // taken for unreachable.
  return OthersRespond && !Reachable.empty() &&
         std::ranges::includes(Domains, Reachable);
}

promotion_vote primary_failure_detector::message() const {
  return {Options.Group, Term, Options.Host, Options.FailureDomain};
}

base::json primary_failure_detector::dump() const {
  base::json Domains = base::json::object();
  for (const auto &[Domain, Deadline] : VoteDeadlines)
    Domains[Domain.str()] = base::toMicroseconds(Deadline);
  return {{"term", Term},
          {"failed_probes", Failures},
          {"suspected", isSuspected()},
          {"agreeing_until_us", Domains}};
}

} // namespace radishrelay::groups
