#include "radishrelay/fleet/membership.h"

#include <algorithm>

namespace radishrelay::fleet {

namespace {

/// Maximum encoded size of the updates in a packet. The rest of MaxPacketBytes
/// is reserved for the other fields.
constexpr std::size_t MaxUpdateBytes = 1000;
/// Encoded size of the numbers and string headers of an update.
constexpr std::size_t UpdateOverheadBytes = 18;
/// Probability that a heartbeat is accompanied by a ping to a host that is gone
/// or to a join address, so that both sides of a healed partition reconnect.
constexpr double ReconnectProbability = 0.1;
/// Maximum number of additional members in the acknowledgement to a host that
/// knows fewer members than this one.
constexpr std::size_t JoinReplyMembers = 10;

std::size_t encodedSize(const member_update &Update) {
  return Update.Host.str().size() + Update.FailureDomain.str().size() +
         Update.Address.size() + UpdateOverheadBytes;
}

/// Drops the updates that exceed MaxUpdateBytes.
void truncateToPacketSize(std::vector<member_update> &Updates) {
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  while (Count < Updates.size()) {
    Bytes += encodedSize(Updates[Count]);
    if (Bytes > MaxUpdateBytes)
      break;
    ++Count;
  }
  Updates.resize(Count);
}

} // namespace

void membership::send(const std::string &Address, membership_body Body,
                      membership_actions &Actions) const {
  membership_message Message{Self.Host, Self.Incarnation, std::move(Body)};
  Actions.push_back(send_packet{Address, std::move(Message)});
}

std::optional<base::host_id> membership::nextTarget() {
  while (!RoundTargets.empty()) {
    base::host_id Host = RoundTargets.back();
    RoundTargets.pop_back();
    auto Found = Members.find(Host);
    if (Found != Members.end() && isPeer(Found->second))
      return Host;
  }
  for (const auto &[Host, Member] : Members)
    if (isPeer(Member))
      RoundTargets.push_back(Host);
  for (std::size_t Left = RoundTargets.size(); Left > 1; --Left)
    std::swap(RoundTargets[Left - 1], RoundTargets[Random.below(Left)]);
  if (RoundTargets.empty())
    return std::nullopt;
  base::host_id Host = RoundTargets.back();
  RoundTargets.pop_back();
  return Host;
}

std::vector<member_update>
membership::takeUpdates(const base::host_id &Receiver) {
  std::vector<member_update> Updates{Self};
  auto Known = Members.find(Receiver);
  // Include the recorded state of the receiver so that it can refute it.
  if (Known != Members.end() &&
      Known->second.Update.State != member_state::Live)
    Updates.push_back(Known->second.Update);
  std::vector<member *> Waiting;
  std::erase_if(MembersToSend, [this](const base::host_id &Host) {
    return Members.at(Host).RemainingSends == 0;
  });
  for (const base::host_id &Host : MembersToSend)
    if (Host != Receiver)
      Waiting.push_back(&Members.at(Host));
  std::stable_sort(Waiting.begin(), Waiting.end(),
                   [](const member *Left, const member *Right) {
                     return Left->RemainingSends > Right->RemainingSends;
                   });
  std::size_t First = Updates.size();
  for (const member *Member : Waiting)
    Updates.push_back(Member->Update);
  truncateToPacketSize(Updates);
  for (std::size_t Index = First; Index < Updates.size(); ++Index)
    --Waiting[Index - First]->RemainingSends;
  return Updates;
}

void membership::addRandomMembers(std::vector<member_update> &Updates,
                                  std::size_t Count) {
  std::size_t Start = Members.empty() ? 0 : Random.below(Members.size());
  auto At = std::next(Members.begin(), static_cast<std::ptrdiff_t>(Start));
  for (std::size_t Index = 0; Index < std::min(Count, Members.size());
       ++Index) {
    if (At == Members.end())
      At = Members.begin();
    if (At->second.Update.State != member_state::Gone)
      Updates.push_back(At->second.Update);
    ++At;
  }
  truncateToPacketSize(Updates);
}

void membership::sendPing(base::time_point Now, membership_actions &Actions) {
  auto Target = nextTarget();
  if (Target) {
    Probes[++LastSequence] = {*Target, Now};
    send(Members[*Target].Update.Address,
         ping_message{LastSequence, Members.size(), Configuration,
                      takeUpdates(*Target)},
         Actions);
  }
  if (Target && !Random.chance(ReconnectProbability))
    return;
  std::vector<std::pair<std::string, base::host_id>> ReconnectTargets;
  for (const std::string &Address : JoinAddresses)
    ReconnectTargets.emplace_back(Address, "");
  for (const base::host_id &Host : MembersWithDeadline) {
    const member_update &Update = Members.at(Host).Update;
    if (Update.State == member_state::Gone)
      ReconnectTargets.emplace_back(Update.Address, Host);
  }
  if (ReconnectTargets.empty())
    return;
  const auto &[Address, Host] =
      ReconnectTargets[NextReconnect++ % ReconnectTargets.size()];
  send(Address,
       ping_message{++LastSequence, Members.size(), Configuration,
                    takeUpdates(Host)},
       Actions);
}

std::vector<base::host_id>
membership::chooseHelpers(const base::host_id &Target) {
  std::vector<base::host_id> Helpers;
  for (const auto &[Host, Member] : Members)
    if (Host != Target && isPeer(Member) &&
        Member.Update.State == member_state::Live)
      Helpers.push_back(Host);
  std::size_t Count = std::min(Options.IndirectProbeCount, Helpers.size());
  for (std::size_t Index = 0; Index < Count; ++Index)
    std::swap(Helpers[Index],
              Helpers[Index + Random.below(Helpers.size() - Index)]);
  Helpers.resize(Count);
  return Helpers;
}

void membership::probeIndirectly(std::uint64_t Sequence, const probe &Probe,
                                 membership_actions &Actions) {
  auto Target = Members.find(Probe.Target);
  if (Target == Members.end())
    return;
  for (const base::host_id &Helper : chooseHelpers(Probe.Target))
    send(Members[Helper].Update.Address,
         probe_message{Sequence, Probe.Target, Target->second.Update.Address},
         Actions);
}

void membership::checkProbes(base::time_point Now,
                             membership_actions &Actions) {
  for (auto &[Sequence, Probe] : Probes) {
    base::duration Age = Now - Probe.SentAt;
    if (!Probe.Indirect && Age >= Options.AckTimeout) {
      Probe.Indirect = true;
      probeIndirectly(Sequence, Probe, Actions);
    }
    if (Age >= Options.ProbeTimeout)
      suspect(Probe.Target, Now, Actions);
  }
  std::erase_if(Probes, [&](const auto &Entry) {
    return Now - Entry.second.SentAt >= Options.ProbeTimeout;
  });
  std::erase_if(RelayedProbes, [&](const auto &Entry) {
    return Now - Entry.second.SentAt >= Options.ProbeTimeout;
  });
}

std::vector<member_update> membership::recentChanges() const {
  std::vector<member_update> Updates{Self};
  for (const auto &[Host, Member] : Members)
    if (Member.RemainingSends > 0 &&
        Member.Update.FailureDomain == Self.FailureDomain)
      Updates.push_back(Member.Update);
  truncateToPacketSize(Updates);
  return Updates;
}

std::vector<member_update> membership::nextSummaryPage() {
  std::vector<member_update> Own;
  for (const auto &[Host, Member] : Members)
    if (isPeer(Member))
      Own.push_back(Member.Update);
  std::vector<member_update> Page;
  for (std::size_t Index = 0;
       Index < std::min(Options.SummaryPageMembers, Own.size()); ++Index)
    Page.push_back(Own[NextSummaryMember++ % Own.size()]);
  return Page;
}

void membership::sendSummaries(base::time_point, membership_actions &Actions) {
  std::map<base::failure_domain_id, std::vector<std::string>> Receivers;
  for (const base::host_id &Host : Witnesses) {
    auto Found = Members.find(Host);
    bool InOtherDomain =
        Found != Members.end() &&
        Found->second.Update.FailureDomain != Self.FailureDomain;
    if (InOtherDomain)
      Receivers[Found->second.Update.FailureDomain].push_back(
          Found->second.Update.Address);
  }
  std::vector<member_update> Changes = recentChanges();
  std::vector<member_update> ChangesAndPage = Changes;
  for (member_update &Update : nextSummaryPage())
    ChangesAndPage.push_back(std::move(Update));
  truncateToPacketSize(ChangesAndPage);
  // Only one witness of each domain gets the page of the member list; it
  // disseminates the members in its domain.
  for (const auto &[FailureDomain, Addresses] : Receivers) {
    std::size_t Chosen = Random.below(Addresses.size());
    for (std::size_t Index = 0; Index < Addresses.size(); ++Index)
      send(Addresses[Index],
           summary_message{Self.FailureDomain, Configuration,
                           Index == Chosen ? ChangesAndPage : Changes},
           Actions);
  }
}

void membership::reportNewerVersion(const base::host_id &Host,
                                    const evidence_answer &Answer,
                                    membership_actions &Actions) const {
  if (Answer.Version > Configuration.Version)
    Actions.push_back(peer_version{Host, Answer.Version});
}

membership_actions membership::onMessage(const membership_message &Message,
                                         const std::string &FromAddress,
                                         base::time_point Now) {
  membership_actions Actions;
  if (Message.Sender == Self.Host)
    return Actions;
  std::visit(
      [&](const auto &Body) {
        receive(Body, Message, FromAddress, Now, Actions);
      },
      Message.Body);
  return Actions;
}

void membership::receive(const ping_message &Ping,
                         const membership_message &Message,
                         const std::string &From, base::time_point Now,
                         membership_actions &Actions) {
  applyUpdates(Ping.Updates, Now, Actions);
  reportNewerVersion(Message.Sender, Ping.Configuration, Actions);
  ack_message Ack{Ping.Sequence, Self.Host, Configuration,
                  takeUpdates(Message.Sender)};
  if (Ping.KnownMembers < Members.size())
    addRandomMembers(Ack.Updates, JoinReplyMembers);
  send(From, std::move(Ack), Actions);
}

void membership::receive(const ack_message &Ack,
                         const membership_message &Message, const std::string &,
                         base::time_point Now, membership_actions &Actions) {
  applyUpdates(Ack.Updates, Now, Actions);
  auto Relay = RelayedProbes.find(Ack.Sequence);
  if (Relay != RelayedProbes.end()) {
    send(
        Relay->second.Address,
        ack_message{Relay->second.Sequence, Ack.Subject, Ack.Configuration, {}},
        Actions);
    RelayedProbes.erase(Relay);
    return;
  }
  reportNewerVersion(Message.Sender, Ack.Configuration, Actions);
  auto Probe = Probes.find(Ack.Sequence);
  if (Probe == Probes.end() || Probe->second.Target != Ack.Subject)
    return;
  // Only direct acknowledgements are used as freshness evidence.
  if (Ack.Subject == Message.Sender)
    Actions.push_back(
        peer_evidence{Ack.Subject, Ack.Configuration, Probe->second.SentAt});
  Probes.erase(Probe);
}

void membership::receive(const probe_message &Probe,
                         const membership_message &Message,
                         const std::string &From, base::time_point Now,
                         membership_actions &Actions) {
  (void)Message;
  RelayedProbes[++LastSequence] = {From, Probe.Sequence, Now};
  send(Probe.TargetAddress,
       ping_message{LastSequence, Members.size(), Configuration,
                    takeUpdates(Probe.Target)},
       Actions);
}

void membership::receive(const summary_message &Summary,
                         const membership_message &Message, const std::string &,
                         base::time_point Now, membership_actions &Actions) {
  SummaryAt[Summary.FailureDomain] = Now;
  applyUpdates(Summary.Updates, Now, Actions);
  reportNewerVersion(Message.Sender, Summary.Configuration, Actions);
}

void membership::receive(const version_query &Query, const membership_message &,
                         const std::string &From, base::time_point,
                         membership_actions &Actions) {
  send(From, version_reply{Query.Sequence, Configuration}, Actions);
}

void membership::receive(const version_reply &Reply,
                         const membership_message &Message, const std::string &,
                         base::time_point, membership_actions &Actions) {
  Actions.push_back(
      version_answered{Message.Sender, Reply.Sequence, Reply.Configuration});
}

membership_actions membership::requestVersion(const base::host_id &Host,
                                              std::uint64_t Sequence) {
  membership_actions Actions;
  auto Found = Members.find(Host);
  if (Found != Members.end())
    send(Found->second.Update.Address, version_query{Sequence}, Actions);
  return Actions;
}

} // namespace radishrelay::fleet
