#include "radishrelay/fleet/configuration_replica.h"

#include "short_digest.h"

namespace radishrelay::fleet {

configuration_replica::configuration_replica(base::host_id Self,
                                             base::time_point StartedAt,
                                             const replica_options &Options)
    : Self(Self), Options(Options),
      Evidence(std::move(Self), StartedAt, Options.Freshness) {}

void configuration_replica::setPeers(std::vector<base::host_id> Hosts) {
  std::erase(Hosts, Self);
  Peers = std::move(Hosts);
}

configuration_version configuration_replica::version() const {
  return Index ? Index->version() : 0;
}

void configuration_replica::adopt(const configuration_document &Document,
                                  std::deque<configuration_patch> RecentPatches,
                                  replica_actions &Actions) {
  if (Document.Version <= version())
    return;
  Patches = std::move(RecentPatches);
  while (Patches.size() > Options.MaxRecentPatches)
    Patches.pop_front();
  auto Pointer = std::make_shared<const configuration_document>(Document);
  Digest = configurationDigest(Document);
  ShortDigest = detail::shortDigest(Digest);
  Index = std::make_shared<const configuration_index>(Pointer);
  HistoryUnusable = false;
  Evidence.onAdopted(Pointer, ShortDigest);
  Actions.push_back(configuration_adopted{Index});
}

replica_actions
configuration_replica::onDocument(const configuration_document &Document) {
  replica_actions Actions;
  if (Document.Version <= version() || !validateConfiguration(Document).empty())
    return Actions;
  adopt(Document, {}, Actions);
  return Actions;
}

configuration_delta
configuration_replica::deltaSince(configuration_version From) const {
  configuration_delta Delta;
  Delta.From = From;
  Delta.To = version();
  Delta.Digest = Digest;
  if (From >= Delta.To)
    return Delta;
  std::size_t MissingVersions = Delta.To - From;
  if (From == 0 || MissingVersions > Patches.size())
    Delta.Document = Index->document();
  else
    Delta.Patches.assign(Patches.end() -
                             static_cast<std::ptrdiff_t>(MissingVersions),
                         Patches.end());
  return Delta;
}

replica_actions configuration_replica::onDelta(const base::host_id &Peer,
                                               const configuration_delta &Delta,
                                               base::time_point Now) {
  replica_actions Actions;
  if (PendingFetch && PendingFetch->Peer == Peer)
    PendingFetch.reset();
  if (Delta.To <= version())
    return Actions;
  if (Delta.Document) {
    bool IsConsistent = Delta.Document->Version == Delta.To &&
                        configurationDigest(*Delta.Document) == Delta.Digest;
    return IsConsistent ? onDocument(*Delta.Document) : Actions;
  }
  bool IsApplicable = Index && Delta.From == version() &&
                      Delta.To - Delta.From == Delta.Patches.size();
  configuration_document Next =
      IsApplicable ? Index->document() : configuration_document();
  for (const configuration_patch &Patch : Delta.Patches)
    IsApplicable = IsApplicable && tryApply(Patch, Next);
  if (!IsApplicable || configurationDigest(Next) != Delta.Digest) {
    fetch(Peer, 0, Now, Actions);
    return Actions;
  }
  std::deque<configuration_patch> RecentPatches = Patches;
  RecentPatches.insert(RecentPatches.end(), Delta.Patches.begin(),
                       Delta.Patches.end());
  adopt(Next, std::move(RecentPatches), Actions);
  return Actions;
}

bool configuration_replica::tryApply(const configuration_patch &Patch,
                                     configuration_document &Next) {
  auto Applied = applyPatch(Next, Patch);
  if (Applied)
    Next = std::move(*Applied);
  return Applied.hasValue();
}

replica_actions configuration_replica::onFetchFailed(const base::host_id &Peer,
                                                     base::time_point Now) {
  replica_actions Actions;
  if (!PendingFetch || PendingFetch->Peer != Peer)
    return Actions;
  PendingFetch.reset();
  fetchFromNextPeer(Now, Actions);
  return Actions;
}

void configuration_replica::fetch(const base::host_id &Peer,
                                  configuration_version Since,
                                  base::time_point Now,
                                  replica_actions &Actions) {
  if (PendingFetch && Now < PendingFetch->Deadline)
    return;
  PendingFetch = pending_fetch{Peer, Now + Options.AnswerTimeout};
  Actions.push_back(fetch_configuration{Peer, Since});
}

replica_actions
configuration_replica::onPeerVersion(const base::host_id &Peer,
                                     configuration_version PeerVersion,
                                     base::time_point Now) {
  replica_actions Actions;
  if (PeerVersion > version())
    fetch(Peer, version(), Now, Actions);
  return Actions;
}

void configuration_replica::checkAnswer(const base::host_id &Peer,
                                        const evidence_answer &Answer,
                                        base::time_point Now,
                                        replica_actions &Actions) {
  if (Answer.Version > version())
    fetch(Peer, version(), Now, Actions);
  if (Index && Answer.Version == version() && Answer.Digest != ShortDigest)
    Actions.push_back(configuration_diverged{Peer, Answer.Version});
}

replica_actions configuration_replica::onAnswer(const base::host_id &Peer,
                                                std::uint64_t Sequence,
                                                const evidence_answer &Answer,
                                                base::time_point Now) {
  replica_actions Actions;
  Evidence.onAnswer(Peer, Sequence, Answer);
  checkAnswer(Peer, Answer, Now, Actions);
  return Actions;
}

replica_actions configuration_replica::onDatedAnswer(
    const base::host_id &Peer, const evidence_answer &Answer,
    base::time_point AskedAt, base::time_point Now) {
  replica_actions Actions;
  Evidence.onDatedAnswer(Peer, Answer, AskedAt);
  checkAnswer(Peer, Answer, Now, Actions);
  return Actions;
}

replica_actions configuration_replica::tick(base::time_point Now) {
  replica_actions Actions;
  pollStore(Now, Actions);
  if (!Index)
    fetchFromNextPeer(Now, Actions);
  for (request_version &Query : Evidence.tick(Now))
    Actions.emplace_back(std::move(Query));
  return Actions;
}

void configuration_replica::fetchFromNextPeer(base::time_point Now,
                                              replica_actions &Actions) {
  if (Index || Peers.empty())
    return;
  bool HasPendingFetch = PendingFetch && Now < PendingFetch->Deadline;
  if (!HasPendingFetch)
    fetch(Peers[NextPeer++ % Peers.size()], 0, Now, Actions);
}

base::json configuration_replica::dump(base::time_point Now) const {
  return {{"version", version()},
          {"digest", Digest},
          {"store_version", StoreVersion},
          {"kept_patches", Patches.size()},
          {"freshness", Evidence.dump(Now)}};
}

} // namespace radishrelay::fleet
