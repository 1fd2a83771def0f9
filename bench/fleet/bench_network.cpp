#include "bench_network.h"

#include <chrono>

namespace radishrelay::bench {

using namespace fleet;
using namespace std::chrono_literals;

namespace {

constexpr base::duration TickInterval = 100ms;
constexpr base::duration NetworkDelay = 1ms;
constexpr base::duration StoreDelay = 5ms;
constexpr std::size_t WitnessesPerDomain = 3;
/// Headers of a request and its answer (JSON-RPC over HTTP).
constexpr std::uint64_t CallHeaderBytes = 500;

/// Adds the real time of a scope.
class stopwatch {
public:
  stopwatch(network_traffic &Traffic, bool IsWitness)
      : Traffic(Traffic), IsWitness(IsWitness) {}
  ~stopwatch() {
    auto Spent = std::chrono::steady_clock::now() - Start;
    auto Nanoseconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(Spent).count());
    Traffic.Nanoseconds += Nanoseconds;
    if (IsWitness)
      Traffic.WitnessNanoseconds += Nanoseconds;
  }
  stopwatch(const stopwatch &) = delete;
  stopwatch &operator=(const stopwatch &) = delete;

private:
  network_traffic &Traffic;
  bool IsWitness;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

configuration_document firstDocument() {
  configuration_document Document;
  Document.Version = 1;
  Document.SessionKeys = {{"s1", "secret"}};
  for (int Index = 0; Index < 8; ++Index)
    Document.Accounts.push_back(
        {base::account_id("account-" + std::to_string(Index)), 200, 400, {}});
  return Document;
}

} // namespace

bench_network::bench_network(const network_options &Options)
    : Options(Options), Random(Options.Seed), Document(firstDocument()) {
  addHosts();
  introduce();
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    schedule(base::duration(Random.below(TickInterval.count())),
             [this, Index] { tick(Index); });
}

bool bench_network::isWitness(std::size_t Index) const {
  return Index / Options.Domains < WitnessesPerDomain;
}

void bench_network::addHosts() {
  for (std::size_t Index = 0; Index < Options.Hosts; ++Index) {
    std::size_t Domain = Index % Options.Domains;
    member_update Self;
    Self.Host = base::host_id("host-" + std::to_string(Index));
    Self.FailureDomain =
        base::failure_domain_id("domain-" + std::to_string(Domain));
    Self.Address = "10.0.0.1:" + std::to_string(10'000 + Index);
    Self.Incarnation = 1;
    if (Index / Options.Domains < WitnessesPerDomain)
      Document.Witnesses.push_back(Self.Host);
    ByAddress[Self.Address] = Index;
    ByName[Self.Host.str()] = Index;
    host Host;
    Host.Self = Self;
    Host.Membership = std::make_unique<membership>(Self, Random());
    Host.Replica = std::make_unique<configuration_replica>(Self.Host, Now);
    Hosts.push_back(std::move(Host));
  }
  std::string Digest = configurationDigest(Document);
  Rows[versionRow()] = {{"version", 1}, {"digest", Digest}};
  Rows[currentRow()] = formatConfiguration(Document);
}

/// Starts from the state of a fleet that has run for some time.
void bench_network::introduce() {
  summary_message All;
  for (const host &Host : Hosts)
    All.Updates.push_back(Host.Self);
  membership_message Message{base::host_id("seed"), 1, All};
  for (host &Host : Hosts) {
    Host.Membership->setWitnesses(Document.Witnesses);
    Host.Membership->onMessage(Message, "", Now);
    Host.Replica->onDocument(Document);
  }
}

void bench_network::schedule(base::duration After, std::function<void()> Run) {
  Queue.push({Now + After, ++LastOrder, std::move(Run)});
}

void bench_network::run(base::duration Duration) {
  base::time_point End = Now + Duration;
  while (!Queue.empty() && Queue.top().At <= End) {
    event Event = Queue.top();
    Queue.pop();
    Now = std::max(Now, Event.At);
    Event.Run();
  }
  Now = End;
}

void bench_network::tick(std::size_t Index) {
  host &Host = Hosts[Index];
  if (Host.Dead)
    return;
  schedule(TickInterval, [this, Index] { tick(Index); });
  Host.Membership->setConfiguration(Host.Replica->freshness().answer(Now));
  membership_actions Packets;
  replica_actions Actions;
  {
    stopwatch Watch(Traffic, isWitness(Index));
    Packets = Host.Membership->tick(Now);
    Actions = Host.Replica->tick(Now);
  }
  perform(Index, Packets);
  perform(Index, Actions);
}

void bench_network::receive(std::size_t To, std::size_t From,
                            const std::string &Packet) {
  host &Host = Hosts[To];
  if (Host.Dead)
    return;
  membership_actions Actions;
  {
    stopwatch Watch(Traffic, isWitness(To));
    auto Message = decodeMessage(Packet);
    Host.Membership->setConfiguration(Host.Replica->freshness().answer(Now));
    Actions =
        Host.Membership->onMessage(*Message, Hosts[From].Self.Address, Now);
  }
  perform(To, Actions);
}

void bench_network::perform(std::size_t Index,
                            const membership_actions &Actions) {
  for (const membership_action &Action : Actions)
    std::visit([&](const auto &Item) { perform(Index, Item); }, Action);
}

void bench_network::perform(std::size_t Index, const replica_actions &Actions) {
  for (const replica_action &Action : Actions)
    std::visit([&](const auto &Item) { perform(Index, Item); }, Action);
}

void bench_network::perform(std::size_t Index, const send_packet &Action) {
  std::string Packet;
  {
    stopwatch Watch(Traffic, isWitness(Index));
    Packet = encodeMessage(Action.Message);
  }
  ++Traffic.Packets;
  Traffic.PacketBytes += Packet.size();
  if (isWitness(Index)) {
    ++Traffic.WitnessPackets;
    Traffic.WitnessBytes += Packet.size();
  }
  auto To = ByAddress.find(Action.Address);
  if (To == ByAddress.end() || Random.chance(Options.Loss))
    return;
  std::size_t Target = To->second;
  schedule(NetworkDelay,
           [this, Target, Index, Packet] { receive(Target, Index, Packet); });
}

void bench_network::perform(std::size_t, const member_changed &Action) {
  if (Hosts[ByName[Action.Member.Host.str()]].Dead)
    return;
  if (Action.Member.State == member_state::Suspected)
    ++FalseSuspicions;
  if (Action.Member.State == member_state::Gone)
    ++FalselyGone;
}

void bench_network::perform(std::size_t Index, const peer_evidence &Action) {
  perform(Index, Hosts[Index].Replica->onDatedAnswer(Action.Host, Action.Answer,
                                                     Action.AskedAt, Now));
}

void bench_network::perform(std::size_t Index, const peer_version &Action) {
  perform(Index, Hosts[Index].Replica->onPeerVersion(Action.Host,
                                                     Action.Version, Now));
}

void bench_network::perform(std::size_t Index, const version_answered &Action) {
  perform(Index, Hosts[Index].Replica->onAnswer(Action.Host, Action.Sequence,
                                                Action.Answer, Now));
}

void bench_network::perform(std::size_t Index,
                            const fetch_configuration &Action) {
  std::size_t Peer = ByName[Action.Peer.str()];
  schedule(NetworkDelay, [this, Index, Peer, Action] {
    if (Hosts[Peer].Dead)
      return;
    std::string Text =
        formatDelta(Hosts[Peer].Replica->deltaSince(Action.Since)).dump();
    ++Traffic.Calls;
    Traffic.CallBytes += Text.size() + CallHeaderBytes;
    if (isWitness(Peer))
      Traffic.WitnessBytes += Text.size() + CallHeaderBytes;
    schedule(NetworkDelay, [this, Index, Action, Text] {
      auto Delta = parseDelta(base::json::parse(Text));
      perform(Index, Hosts[Index].Replica->onDelta(Action.Peer, *Delta, Now));
    });
  });
}

base::store_answer bench_network::readRow(const base::store_request &Request) {
  const auto &Key = std::get<base::read_row>(Request).Key;
  base::store_answer Answer;
  Answer.Outcome = base::store_outcome::Done;
  Answer.SentAt = Now;
  auto Found = Rows.find(Key);
  Answer.Rows = {{Key, Found == Rows.end() ? 0U : 1U,
                  Found == Rows.end() ? base::json() : Found->second}};
  return Answer;
}

void bench_network::perform(std::size_t Index, const read_store &Action) {
  ++Traffic.StoreReads;
  base::store_answer Answer = readRow(Action.Request);
  schedule(StoreDelay, [this, Index, Action, Answer] {
    if (!Hosts[Index].Dead)
      perform(Index,
              Hosts[Index].Replica->onStoreAnswer(Action.Id, Answer, Now));
  });
}

void bench_network::perform(std::size_t, const configuration_adopted &) {}
void bench_network::perform(std::size_t, const configuration_diverged &) {}

void bench_network::perform(std::size_t Index, const request_version &Action) {
  perform(Index, Hosts[Index].Membership->requestVersion(Action.Host,
                                                         Action.Sequence));
}

void bench_network::publish() {
  configuration_patch Patch{
      set_limit{Document.Accounts[0].Id,
                static_cast<std::int64_t>(Document.Version), 400}};
  Document = *applyPatch(Document, Patch);
  std::string Digest = configurationDigest(Document);
  history_record Record{
      Document.Version, "operator", "bench", "s", "t", Patch, Digest};
  Rows[versionRow()] = {{"version", Document.Version}, {"digest", Digest}};
  Rows[currentRow()] = formatConfiguration(Document);
  Rows[historyRow(Document.Version)] = formatHistory(Record);
}

void bench_network::resetTraffic() {
  Traffic = {};
  FalseSuspicions = 0;
  FalselyGone = 0;
}

std::size_t bench_network::holders() const {
  std::size_t Count = 0;
  for (const host &Host : Hosts)
    if (Host.Dead || Host.Replica->version() == Document.Version)
      ++Count;
  return Count;
}

std::size_t bench_network::believers(std::size_t Index) const {
  const member_update &Subject = Hosts[Index].Self;
  std::size_t Count = 0;
  for (const host &Host : Hosts) {
    bool Peer = !Host.Dead &&
                Host.Self.FailureDomain == Subject.FailureDomain &&
                Host.Self.Host != Subject.Host;
    if (!Peer)
      continue;
    auto Known = Host.Membership->find(Subject.Host);
    if (Known && Known->State == member_state::Live)
      ++Count;
  }
  return Count;
}

std::size_t bench_network::freshHosts() const {
  std::size_t Count = 0;
  for (const host &Host : Hosts)
    if (!Host.Dead && Host.Replica->freshness().isFresh(Now))
      ++Count;
  return Count;
}

} // namespace radishrelay::bench
