#include "measurements.h"
#include "resources.h"

#include "radishrelay/accounts/key_creation.h"
#include "radishrelay/daemon/service_view.h"
#include "radishrelay/fleet/configuration_document.h"
#include "radishrelay/fleet/configuration_patch.h"
#include "radishrelay/fleet/configuration_replica.h"
#include "radishrelay/fleet/membership.h"

#include <algorithm>
#include <stdexcept>

namespace radishrelay::bench {

using namespace fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t FleetSizes[] = {21, 100, 500, 2600};
constexpr std::size_t DomainCount = 12;

configuration_document makeDocument(std::size_t Accounts, std::size_t Routes) {
  configuration_document Document;
  Document.Version = 1;
  Document.SlotCount = 2800;
  Document.SessionKeys = {{"s1", "secret"}};
  Document.Witnesses = {base::host_id("host-1")};
  for (std::size_t Index = 0; Index < Accounts; ++Index) {
    std::string Name = std::to_string(Index);
    auto Key = accounts::createKey(
        base::account_id("account-" + Name), "k" + Name,
        std::string(accounts::KeyRandomBytes, static_cast<char>(Index)));
    Document.Accounts.push_back(
        {base::account_id("account-" + Name),
         200,
         400,
         {{"k" + Name, Key->Record.Salt, Key->Record.Digest}}});
  }
  database_group Group{base::group_id("permits"), 3, 50, {}};
  for (const char *Id : {"permits-1", "permits-2", "permits-3"})
    Group.Instances.push_back({base::instance_id(Id), "127.0.0.1:5501",
                               base::failure_domain_id("boston")});
  for (std::size_t Index = 0; Index < Group.Instances.size(); ++Index)
    Group.Instances[Index].Address =
        "127.0.0.1:" + std::to_string(5501 + Index);
  Document.Groups = {Group};
  for (std::size_t Index = 0; Index < Routes; ++Index) {
    route Route;
    Route.Name = "find-permit-" + std::to_string(Index);
    Route.Group = Group.Id;
    Route.Statement = "SELECT id, status, fee FROM permits WHERE address = $1 "
                      "ORDER BY id DESC LIMIT 20";
    Route.Parameters = {"address"};
    Document.Routes.push_back(Route);
  }
  return Document;
}

/// Applies a patch of one operation and builds all that a daemon builds.
double adoptionCost(const configuration_document &Document) {
  configuration_replica Replica(base::host_id("host-1"),
                                base::fromMicroseconds(1));
  Replica.onDocument(Document);
  if (Replica.version() != Document.Version)
    throw std::runtime_error("the document was not adopted");
  configuration_delta Delta;
  Delta.From = Document.Version;
  Delta.To = Document.Version + 1;
  Delta.Patches = {{set_limit{Document.Accounts[0].Id, 300, 400}}};
  Delta.Digest = configurationDigest(*applyPatch(Document, Delta.Patches[0]));
  return microsecondsPerCall(1, [&](std::size_t) {
    configuration_replica Next = Replica;
    Next.onDelta(base::host_id("host-2"), Delta, base::fromMicroseconds(2));
    if (Next.version() != Delta.To)
      throw std::runtime_error("the delta was not adopted");
    auto View =
        daemon::makeServiceView(std::make_shared<const configuration_document>(
            Next.index()->document()));
    if (!View)
      throw std::runtime_error("no service view");
  });
}

slopes measureAdoption() {
  slope ByAccounts("adoption of a change, 8 routes", "us", "accounts");
  slope ByRoutes("adoption of a change, 8 accounts", "us", "routes");
  for (std::size_t Size : {8U, 100U, 1000U, 5000U}) {
    auto Count = static_cast<double>(Size);
    ByAccounts.add(Count, adoptionCost(makeDocument(Size, 8)));
    ByRoutes.add(Count, adoptionCost(makeDocument(8, Size)));
  }
  return {ByAccounts, ByRoutes};
}

/// Memory of a replica and the view that is built from it.
slope measureMemory(const std::string &Name, bool VaryRoutes) {
  slope Result("memory of a configuration by " + Name, "bytes", Name);
  for (std::size_t Size : {100U, 1000U, 2500U, 5000U}) {
    double Before = residentBytes();
    configuration_replica Replica(base::host_id("host-1"),
                                  base::fromMicroseconds(1));
    Replica.onDocument(VaryRoutes ? makeDocument(8, Size)
                                  : makeDocument(Size, 8));
    auto View =
        daemon::makeServiceView(std::make_shared<const configuration_document>(
            Replica.index()->document()));
    Result.add(static_cast<double>(Size), residentBytes() - Before);
  }
  return Result;
}

member_update memberName(std::size_t Index) {
  member_update Member;
  Member.Host = base::host_id("host-" + std::to_string(Index));
  Member.FailureDomain =
      base::failure_domain_id("domain-" + std::to_string(Index % DomainCount));
  Member.Address = "10.0.0.1:" + std::to_string(10'000 + Index);
  Member.Incarnation = 1;
  return Member;
}

std::unique_ptr<membership> makeMembership(std::size_t Size, bool IsWitness,
                                           base::time_point Now) {
  auto View = std::make_unique<membership>(memberName(0), 1);
  std::vector<base::host_id> Witnesses;
  std::size_t Last = std::min<std::size_t>(Size, 3 * DomainCount);
  for (std::size_t Index = IsWitness ? 0 : 1; Index < Last; ++Index)
    Witnesses.push_back(memberName(Index).Host);
  View->setWitnesses(Witnesses);
  summary_message All;
  for (std::size_t Index = 1; Index < Size; ++Index)
    All.Updates.push_back(memberName(Index));
  View->onMessage({base::host_id("seed"), 1, All}, "", Now);
  return View;
}

slope measureMembershipMemory() {
  slope Result("memory of membership", "bytes", "hosts");
  std::vector<std::unique_ptr<membership>> Views;
  for (std::size_t Size : FleetSizes) {
    double Before = residentBytes();
    for (int Copy = 0; Copy < 8; ++Copy)
      Views.push_back(
          makeMembership(Size, false, base::fromMicroseconds(1'000'000)));
    Result.add(static_cast<double>(Size), (residentBytes() - Before) / 8);
  }
  return Result;
}

/// Answers all heartbeats of a host, so that no member is suspected.
void answer(membership &View, const membership_actions &Actions,
            base::time_point Now) {
  for (const membership_action &Action : Actions) {
    const auto *Packet = std::get_if<send_packet>(&Action);
    if (Packet == nullptr)
      continue;
    const auto *Ping = std::get_if<ping_message>(&Packet->Message.Body);
    if (Ping == nullptr)
      continue;
    std::size_t Port = std::stoul(Packet->Address.substr(9));
    member_update Member = memberName(Port - 10'000);
    ack_message Ack;
    Ack.Sequence = Ping->Sequence;
    Ack.Subject = Member.Host;
    View.onMessage({Member.Host, 1, Ack}, Packet->Address, Now);
  }
}

struct membership_cost {
  double Microseconds = 0;
  double Packets = 0;
  double Bytes = 0;
};

/// Heartbeats of three members of the host's failure domain.
void receivePings(membership &View, std::size_t Size, int Second,
                  base::time_point Now, membership_actions &Actions) {
  std::size_t Neighbours = (Size - 1) / DomainCount;
  for (std::size_t Count = 0; Count < std::min<std::size_t>(3, Neighbours);
       ++Count) {
    std::size_t Turn = static_cast<std::size_t>(Second) * 3 + Count;
    member_update From = memberName((1 + Turn % Neighbours) * DomainCount);
    ping_message Ping;
    Ping.Sequence = Turn;
    Ping.KnownMembers = Size;
    auto Message = decodeMessage(encodeMessage({From.Host, 1, Ping}));
    auto Answers = View.onMessage(*Message, From.Address, Now);
    Actions.insert(Actions.end(), Answers.begin(), Answers.end());
  }
}

/// What a host sends and computes in a second of a quiet fleet: heartbeats in
/// both directions, and to a witness the summaries of the other domains from
/// each of their three witnesses. Questions on versions are not included.
membership_cost membershipSecond(std::size_t Size, bool IsWitness) {
  constexpr int Seconds = 500;
  base::time_point Now = base::fromMicroseconds(1'000'000);
  auto View = makeMembership(Size, IsWitness, Now);
  membership_cost Cost;
  double Start = threadMicroseconds();
  for (int Tick = 0; Tick < 20 * Seconds; ++Tick) {
    Now += 50ms;
    membership_actions Actions = View->tick(Now);
    if (Tick % 20 == 0)
      receivePings(*View, Size, Tick / 20, Now, Actions);
    for (const membership_action &Action : Actions)
      if (const auto *Packet = std::get_if<send_packet>(&Action)) {
        Cost.Packets += 1.0 / Seconds;
        Cost.Bytes +=
            static_cast<double>(encodeMessage(Packet->Message).size()) /
            Seconds;
      }
    answer(*View, Actions, Now);
    bool NewSecond = Tick % 20 == 0;
    for (std::size_t Index = 1;
         IsWitness && NewSecond && Index < 3 * DomainCount && Index < Size;
         ++Index) {
      member_update Witness = memberName(Index);
      summary_message Summary;
      Summary.FailureDomain = Witness.FailureDomain;
      Summary.Updates = {Witness};
      std::string Text = encodeMessage({Witness.Host, 1, Summary});
      View->onMessage(*decodeMessage(Text), Witness.Address, Now);
    }
  }
  Cost.Microseconds = (threadMicroseconds() - Start) / Seconds;
  return Cost;
}

slopes measureMembershipWork() {
  slopes Result;
  for (bool IsWitness : {false, true}) {
    std::string Who = IsWitness ? "witness" : "member";
    slope Work("membership work of a " + Who, "us/s", "hosts");
    slope Bytes("membership bytes sent by a " + Who, "bytes/s", "hosts");
    slope Packets("membership packets sent by a " + Who, "1/s", "hosts");
    for (std::size_t Size : FleetSizes) {
      membership_cost Cost = membershipSecond(Size, IsWitness);
      Work.add(static_cast<double>(Size), Cost.Microseconds);
      Bytes.add(static_cast<double>(Size), Cost.Bytes);
      Packets.add(static_cast<double>(Size), Cost.Packets);
    }
    Result.insert(Result.end(), {Work, Bytes, Packets});
  }
  return Result;
}

} // namespace

slopes measureFleet() {
  slopes Result = {measureMembershipMemory(), measureMemory("routes", true),
                   measureMemory("accounts", false)};
  for (slope &Slope : measureMembershipWork())
    Result.push_back(std::move(Slope));
  for (slope &Slope : measureAdoption())
    Result.push_back(std::move(Slope));
  return Result;
}

} // namespace radishrelay::bench
