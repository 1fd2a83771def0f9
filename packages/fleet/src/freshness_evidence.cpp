#include "radishrelay/fleet/freshness_evidence.h"

#include "radishrelay/fleet/witness_majority.h"

#include <algorithm>

namespace radishrelay::fleet {

namespace {

/// Maximum number of not yet adopted versions for which evidence is kept.
constexpr std::size_t MaxPendingVersions = 8;
constexpr std::size_t WitnessesPerEvidenceQuery = 2;

} // namespace

freshness_evidence::freshness_evidence(base::host_id Self,
                                       base::time_point StartedAt,
                                       const freshness_options &Options)
    : Self(std::move(Self)), StartedAt(StartedAt), Options(Options) {}

void freshness_evidence::onAdopted(configuration_pointer NewDocument,
                                   std::uint64_t NewDigest) {
  Document = std::move(NewDocument);
  Version = Document->Version;
  Digest = NewDigest;
  while (!Pending.empty() && Pending.begin()->first <= Version) {
    advanceEvidence(Pending.begin()->second);
    Pending.erase(Pending.begin());
  }
  recompute();
}

void freshness_evidence::onStoreVersion(configuration_version StoreVersion,
                                        base::time_point SentAt) {
  addEvidence(StoreVersion, SentAt);
  // Every version that a previous incarnation acknowledged was in the store
  // before the acknowledgement, so this read covers it.
  if (StoreVersion <= Version && SentAt >= StartedAt && Document)
    Confirmed = true;
}

void freshness_evidence::addEvidence(configuration_version ProvedVersion,
                                     base::time_point At) {
  if (ProvedVersion <= Version) {
    advanceEvidence(At);
    return;
  }
  auto [Entry, New] = Pending.emplace(ProvedVersion, At);
  Entry->second = std::max(Entry->second, At);
  if (Pending.size() > MaxPendingVersions)
    Pending.erase(Pending.begin());
}

void freshness_evidence::advanceEvidence(base::time_point At) {
  EvidenceAt = EvidenceAt ? std::max(*EvidenceAt, At) : At;
  if (*EvidenceAt >= StartedAt + Options.RestartConfirmationDelay)
    Confirmed = true;
}

bool freshness_evidence::countsTowardsMajority(
    const evidence_answer &Answer) const {
  if (!Answer.Confirmed || Answer.Version > Version)
    return false;
  return Answer.Version < Version || Answer.Digest == Digest;
}

std::optional<base::time_point> freshness_evidence::witnessesAskedAt() const {
  auto AskedAt =
      [this](const base::host_id &Host) -> std::optional<base::time_point> {
    if (Host == Self)
      return Confirmed ? std::optional(base::time_point::max()) : std::nullopt;
    auto Found = Answers.find(Host);
    if (Found == Answers.end() || !countsTowardsMajority(Found->second.Answer))
      return std::nullopt;
    return Found->second.AskedAt;
  };
  return majorityAskedAt(*Document, AskedAt);
}

void freshness_evidence::recompute() {
  if (!Document)
    return;
  auto At = witnessesAskedAt();
  if (At && *At != base::time_point::max())
    advanceEvidence(*At);
}

void freshness_evidence::refreshFromOwnMajority(base::time_point Now) {
  // If this host alone is a majority of the witnesses, each accepted
  // configuration has been acknowledged by it.
  if (witnessesAskedAt() == base::time_point::max())
    advanceEvidence(Now);
}

void freshness_evidence::onAnswer(const base::host_id &Host,
                                  std::uint64_t Sequence,
                                  const evidence_answer &Answer) {
  auto Found = PendingQueries.find(Sequence);
  if (Found == PendingQueries.end() || Found->second.Host != Host)
    return;
  base::time_point AskedAt = Found->second.AskedAt;
  PendingQueries.erase(Found);
  onDatedAnswer(Host, Answer, AskedAt);
}

void freshness_evidence::onDatedAnswer(const base::host_id &Host,
                                       const evidence_answer &Answer,
                                       base::time_point AskedAt) {
  bool Diverged = Answer.Version == Version && Answer.Digest != Digest;
  if (Diverged && Document)
    return;
  auto [Entry, New] = Answers.emplace(Host, dated_answer{Answer, AskedAt});
  if (!New && AskedAt >= Entry->second.AskedAt)
    Entry->second = {Answer, AskedAt};
  if (Answer.EvidenceAge)
    addEvidence(Answer.Version, AskedAt - *Answer.EvidenceAge);
  recompute();
}

bool freshness_evidence::isQueryDue(base::time_point Now) const {
  return !LastQueryAt || Now - *LastQueryAt >= Options.QueryInterval;
}

std::vector<base::host_id>
freshness_evidence::chooseQueryTargets(base::time_point Now) {
  std::vector<base::host_id> Hosts = allWitnesses(*Document);
  std::erase(Hosts, Self);
  base::duration Age = EvidenceAt ? Now - *EvidenceAt : base::duration::max();
  bool QueryAll = Age >= Options.QueryAllAge;
  if (isWitness(*Document, Self) && Age >= Options.QueryInterval)
    QueryAll = true;
  if (QueryAll || Hosts.empty())
    return Hosts;
  if (Age < Options.QuerySomeAge)
    return {};
  std::vector<base::host_id> Subset;
  for (std::size_t Count = 0; Count < WitnessesPerEvidenceQuery; ++Count)
    Subset.push_back(Hosts[NextWitness++ % Hosts.size()]);
  return Subset;
}

std::vector<request_version> freshness_evidence::tick(base::time_point Now) {
  std::vector<request_version> Actions;
  if (!Document)
    return Actions;
  refreshFromOwnMajority(Now);
  if (!isQueryDue(Now))
    return Actions;
  LastQueryAt = Now;
  std::erase_if(PendingQueries, [&](const auto &Entry) {
    return Now - Entry.second.AskedAt > Options.MaxAge;
  });
  std::erase_if(Answers, [&](const auto &Entry) {
    return Now - Entry.second.AskedAt > Options.MaxAge;
  });
  for (base::host_id &Host : chooseQueryTargets(Now)) {
    PendingQueries[++LastSequence] = {Host, Now};
    Actions.push_back({std::move(Host), LastSequence});
  }
  return Actions;
}

std::optional<base::time_point> freshness_evidence::freshUntil() const {
  if (!Document || !EvidenceAt)
    return std::nullopt;
  return *EvidenceAt + Options.MaxAge;
}

bool freshness_evidence::isFresh(base::time_point Now) const {
  auto Until = freshUntil();
  return Until && Now <= *Until;
}

evidence_answer freshness_evidence::answer(base::time_point Now) const {
  evidence_answer Answer{Version, Digest, Confirmed, std::nullopt};
  if (Document && EvidenceAt)
    Answer.EvidenceAge = Now - *EvidenceAt;
  return Answer;
}

base::json freshness_evidence::dump(base::time_point Now) const {
  base::json Age;
  if (EvidenceAt)
    Age = (Now - *EvidenceAt).count();
  base::json Versions = base::json::object();
  for (const auto &[Host, Entry] : Answers)
    Versions[Host.str()] = Entry.Answer.Version;
  return {{"version", Version},
          {"fresh", isFresh(Now)},
          {"confirmed", Confirmed},
          {"evidence_age_us", std::move(Age)},
          {"answers", std::move(Versions)}};
}

} // namespace radishrelay::fleet
