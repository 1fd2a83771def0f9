#include "radishrelay/fleet/membership.h"

#include <algorithm>
#include <bit>

namespace radishrelay::fleet {

membership::membership(member_update Self, std::uint64_t Seed,
                       const membership_options &Options)
    : Self(std::move(Self)), Options(Options), Random(Seed) {}

void membership::setJoinAddresses(std::vector<std::string> Addresses) {
  std::erase(Addresses, Self.Address);
  JoinAddresses = std::move(Addresses);
}

void membership::setWitnesses(const std::vector<base::host_id> &Hosts) {
  Witnesses = {Hosts.begin(), Hosts.end()};
}

void membership::setConfiguration(const evidence_answer &Answer) {
  Configuration = Answer;
}

bool membership::isPeer(const member &Member) const {
  return Member.Update.FailureDomain == Self.FailureDomain &&
         Member.Update.State != member_state::Gone;
}

std::size_t membership::sendsPerUpdate() const {
  return Options.SendsFactor * std::bit_width(Members.size() + 1);
}

void membership::refute(const member_update &Update) {
  bool MustRefute =
      Update.State == member_state::Suspected ||
      (Update.State == member_state::Gone && Self.State != member_state::Gone);
  if (MustRefute && Update.Incarnation >= Self.Incarnation)
    Self.Incarnation = Update.Incarnation + 1;
}

void membership::applyUpdate(const member_update &Update, base::time_point Now,
                             membership_actions &Actions) {
  if (Update.Host == Self.Host)
    return refute(Update);
  auto Found = Members.find(Update.Host);
  if (Found == Members.end()) {
    if (Update.State == member_state::Gone)
      return;
    member &Member = Members[Update.Host];
    return replaceUpdate(Member, Update, Now, Actions);
  }
  if (overrides(Update, Found->second.Update))
    replaceUpdate(Found->second, Update, Now, Actions);
}

void membership::applyUpdates(const std::vector<member_update> &Updates,
                              base::time_point Now,
                              membership_actions &Actions) {
  for (const member_update &Update : Updates)
    applyUpdate(Update, Now, Actions);
}

void membership::replaceUpdate(member &Member, const member_update &Update,
                               base::time_point Now,
                               membership_actions &Actions) {
  bool Known = Member.Update.Host == Update.Host;
  bool ShouldSend =
      Known || Update.State != member_state::Live || !isJoining(Now);
  Member.Update = Update;
  Member.RemainingSends = ShouldSend ? sendsPerUpdate() : 0;
  if (ShouldSend)
    MembersToSend.insert(Update.Host);
  bool HasDeadline = Update.State == member_state::Suspected ||
                     Update.State == member_state::Gone;
  if (HasDeadline)
    MembersWithDeadline.insert(Update.Host);
  else
    MembersWithDeadline.erase(Update.Host);
  if (Update.State == member_state::Suspected)
    Member.Deadline = Now + Options.SuspicionTimeout;
  if (Update.State == member_state::Gone)
    Member.Deadline = Now + Options.GoneRetention;
  Actions.push_back(member_changed{Update});
}

void membership::setState(member &Member, member_state State,
                          base::time_point Now, membership_actions &Actions) {
  member_update Update = Member.Update;
  Update.State = State;
  if (overrides(Update, Member.Update))
    replaceUpdate(Member, Update, Now, Actions);
}

void membership::suspect(const base::host_id &Host, base::time_point Now,
                         membership_actions &Actions) {
  auto Found = Members.find(Host);
  if (Found == Members.end())
    return;
  // A host that announced its shutdown and no longer answers has stopped.
  bool WasLeaving = Found->second.Update.State == member_state::Leaving;
  setState(Found->second,
           WasLeaving ? member_state::Gone : member_state::Suspected, Now,
           Actions);
}

void membership::checkDeadlines(base::time_point Now,
                                membership_actions &Actions) {
  std::vector<base::host_id> Hosts(MembersWithDeadline.begin(),
                                   MembersWithDeadline.end());
  for (const base::host_id &Host : Hosts) {
    member &Member = Members.at(Host);
    if (Now < Member.Deadline)
      continue;
    if (Member.Update.State == member_state::Suspected) {
      setState(Member, member_state::Gone, Now, Actions);
      continue;
    }
    MembersWithDeadline.erase(Host);
    MembersToSend.erase(Host);
    Members.erase(Host);
  }
}

bool membership::isJoining(base::time_point Now) const {
  return !FirstTickAt || Now - *FirstTickAt < Options.JoinPeriod;
}

membership_actions membership::tick(base::time_point Now) {
  membership_actions Actions;
  if (!FirstTickAt)
    FirstTickAt = Now;
  checkProbes(Now, Actions);
  checkDeadlines(Now, Actions);
  if (!LastPingAt || Now - *LastPingAt >= Options.PingInterval) {
    // Keeps the average rate if ticks are late, without a burst of heartbeats
    // after a pause of two intervals or more.
    bool Late = !LastPingAt || Now - *LastPingAt >= 2 * Options.PingInterval;
    LastPingAt = Late ? Now : *LastPingAt + Options.PingInterval;
    sendPing(Now, Actions);
  }
  bool SummaryDue =
      !LastSummaryAt || Now - *LastSummaryAt >= Options.SummaryInterval;
  if (SummaryDue && Witnesses.contains(Self.Host)) {
    LastSummaryAt = Now;
    sendSummaries(Now, Actions);
  }
  return Actions;
}

membership_actions
membership::onListedHosts(const std::vector<base::listed_host> &List,
                          base::time_point Now) {
  membership_actions Actions;
  LeavingServers.clear();
  std::map<base::host_id, std::uint64_t> Listed;
  for (const base::listed_host &Entry : List) {
    if (Entry.State != base::listed_host_state::Leaving)
      continue;
    base::host_id Host(Entry.Name);
    auto Found = Members.find(Host);
    if (Found == Members.end()) {
      LeavingServers.insert(Entry.Name);
      continue;
    }
    auto Before = ListedLeaving.find(Host);
    std::uint64_t Incarnation = Before == ListedLeaving.end()
                                    ? Found->second.Update.Incarnation
                                    : Before->second;
    Listed[Host] = Incarnation;
    if (Found->second.Update.Incarnation == Incarnation)
      setState(Found->second, member_state::Leaving, Now, Actions);
  }
  ListedLeaving = std::move(Listed);
  return Actions;
}

membership_actions membership::announce(member_state State,
                                        base::time_point Now) {
  membership_actions Actions;
  if (State <= Self.State)
    return Actions;
  Self.State = State;
  // Notify the peers immediately instead of with the next heartbeats.
  std::size_t Count = 0;
  for (auto &[Host, Member] : Members)
    if (isPeer(Member) && Count++ < sendsPerUpdate())
      send(Member.Update.Address,
           ping_message{++LastSequence, Members.size(), Configuration, {Self}},
           Actions);
  LastPingAt = Now;
  return Actions;
}

std::optional<member_update> membership::find(const base::host_id &Host) const {
  if (Host == Self.Host)
    return Self;
  auto Found = Members.find(Host);
  if (Found == Members.end())
    return std::nullopt;
  return Found->second.Update;
}

std::vector<base::host_id>
membership::liveHosts(const base::failure_domain_id &FailureDomain) const {
  std::vector<base::host_id> Hosts;
  for (const member_update &Member : members())
    if (Member.FailureDomain == FailureDomain &&
        Member.State == member_state::Live)
      Hosts.push_back(Member.Host);
  std::sort(Hosts.begin(), Hosts.end());
  return Hosts;
}

std::vector<member_update> membership::members() const {
  std::vector<member_update> Updates;
  if (Self.State != member_state::Gone)
    Updates.push_back(Self);
  for (const auto &[Host, Member] : Members)
    if (Member.Update.State != member_state::Gone)
      Updates.push_back(Member.Update);
  return Updates;
}

bool membership::isDomainReachable(const base::failure_domain_id &FailureDomain,
                                   base::time_point Now) const {
  auto Found = SummaryAt.find(FailureDomain);
  return Found == SummaryAt.end() ||
         Now - Found->second <= Options.SummaryTimeout;
}

bool membership::isServerLeaving(const std::string &Address) const {
  return LeavingServers.contains(Address);
}

base::json membership::dump() const {
  base::json Items = base::json::array();
  auto Add = [&](const member_update &Update) {
    Items.push_back({{"host", Update.Host.str()},
                     {"failure_domain", Update.FailureDomain.str()},
                     {"address", Update.Address},
                     {"incarnation", Update.Incarnation},
                     {"state", toString(Update.State)}});
  };
  Add(Self);
  for (const auto &[Host, Member] : Members)
    Add(Member.Update);
  return {{"members", std::move(Items)}, {"leaving_servers", LeavingServers}};
}

} // namespace radishrelay::fleet
