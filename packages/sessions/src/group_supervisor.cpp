#include "radishrelay/sessions/detail/group_supervisor.h"

#include <algorithm>

namespace radishrelay::sessions::detail {

namespace {

/// After a session's last need of a proof, probes go on for so long, so that a
/// lost primary is replaced before the next session comes.
constexpr base::duration DemandLifetime = std::chrono::seconds(3);
/// A prober renews its proof this long before it runs out, and offers it until
/// then: time for the first prober's status call on a busy instance, and for
/// one more if the first prober is down.
constexpr base::duration RenewalTime = std::chrono::milliseconds(200);
/// A proof is not offered so shortly before its renewal: the hosts that ask for
/// it would have to ask again at once.
constexpr base::duration OfferMargin = std::chrono::milliseconds(20);
/// A host that does not probe asks for a proof this long before its own runs
/// out: the time for a statement to reach the instance.
constexpr base::duration PassiveRenewalTime = std::chrono::milliseconds(30);
/// The same on a host that does not probe: an operation that waits for a proof
/// renews its wish more often.
constexpr base::duration PassiveDemandLifetime = std::chrono::milliseconds(60);
/// The first prober answers once its status call is through the queue of a busy
/// instance. A call of each prober instead would make the queue longer.
constexpr base::duration OfferPatience = std::chrono::milliseconds(120);
/// Longer than OfferPatience, so that a probe follows when no offer came.
constexpr base::duration AskInterval = std::chrono::milliseconds(250);
/// The same on a host that does not probe, whose operations wait meanwhile:
/// twice the time of a probe over a new connection.
constexpr base::duration PassiveAskInterval = std::chrono::milliseconds(30);
/// Probers asked at once: the first, whose proofs most hosts share, and another
/// in case the first is down.
constexpr std::size_t AskedProbers = 2;
/// A wish that could not be answered is dropped after the time of one probe.
constexpr base::duration WishLifetime = std::chrono::milliseconds(200);
/// More than the hosts of one failure domain.
constexpr std::size_t MaxWishes = 256;
/// Within this time the entries of a failure domain lapse one after another: an
/// interval of the instances' reports and the delay of the list.
constexpr base::duration LapseSpread = std::chrono::milliseconds(2500);
/// An instance that answered a status call so recently counts as reachable:
/// more than a lease, so that each renewal of a proof confirms it.
constexpr base::duration ReachedLifetime = std::chrono::milliseconds(1000);

} // namespace

group_supervisor::group_supervisor(base::group_id Group,
                                   const engine_options &Options,
                                   backend_pool &Pool, store_calls &Store,
                                   fleet_members &Fleet, event_log &Log)
    : Group(std::move(Group)), Options(Options), Pool(Pool), Store(Store),
      Fleet(Fleet), Log(Log), Leadership(Options.LeaseDuration),
      Promotion(this->Group, Options), Votes(Options.VoteLifetime) {}

void group_supervisor::setListings(
    const std::map<base::instance_id, instance_listing> &List,
    base::time_point Now) {
  for (auto &[Instance, Member] : Members) {
    bool IsListed = List.contains(Instance);
    if (Member.IsListed && !IsListed)
      Member.UnlistedAt = Now;
    Member.IsListed = IsListed;
  }
  ListedDomains.clear();
  for (const auto &[Instance, Listing] : List) {
    ListedDomains.insert(Listing.Domain);
    if (Listing.Group != Group)
      continue;
    member_state &Member = Members[Instance];
    if (Listing.Draining && !Member.Listing.Draining)
      Member.LeavingSince = Now;
    Member.Listing = Listing;
    Member.IsListed = true;
  }
  updateMembers();
  promotion_actions Actions;
  for (const auto &[Instance, Member] : Members)
    Promotion.noteMember(Instance, Now, Actions);
  perform(Actions, Now);
}

bool group_supervisor::hasLeft(const base::instance_id &Instance,
                               const member_state &Member) const {
  bool HasAnnounced =
      Member.Listing.Draining &&
      Member.UnlistedAt >= Member.LeavingSince + Options.LeavingDuration;
  // An entry also lapses when a failure domain is cut off; then the others of
  // the domain lapse soon after it, and the instance may go on acknowledging
  // commits.
  bool IsDomainListed = ListConfirmedAt >= Member.UnlistedAt + LapseSpread &&
                        ListedDomains.contains(Member.Listing.Domain);
  return HasAnnounced && IsDomainListed && Leadership.primary() != Instance;
}

void group_supervisor::updateMembers() {
  std::set<base::instance_id> Names;
  for (const auto &[Instance, Member] : Members)
    Names.insert(Instance);
  Leadership.setMembers(std::move(Names));
}

void group_supervisor::setSettings(const group_settings &NewSettings) {
  Settings = NewSettings;
  Leadership.setCommitsReplicated(Settings.SyncReplicas > 0);
}

std::optional<base::instance_id>
group_supervisor::usablePrimary(base::time_point Now) const {
  if (isPrimarySilent() || !Leadership.isProved(Now))
    return std::nullopt;
  return Leadership.primary();
}

std::optional<base::instance_id> group_supervisor::primaryForWrites() const {
  if (isPrimarySilent() || Settings.SyncReplicas == 0 || !Promotion.isIdle())
    return std::nullopt;
  return Leadership.primary();
}

bool group_supervisor::isPromotionOrdered() const {
  return Promotion.isOrdered();
}

void group_supervisor::wantProof(base::time_point Now) {
  WantedAt = Now;
  seekProof(Now);
}

base::duration group_supervisor::demandLifetime() const {
  return Size.IsProber ? DemandLifetime : PassiveDemandLifetime;
}

void group_supervisor::seekProof(base::time_point Now) {
  if (Now >= WantedAt + demandLifetime())
    return;
  bool IsProvedLonger = Leadership.isProved(
      Now + (Size.IsProber ? RenewalTime : PassiveRenewalTime));
  bool IsOfferUseful =
      Size.IsProber ? !Size.IsFirstProber && !IsProbing && !isPrimaryDoubted()
                    : !isPrimarySilent();
  if (IsOfferUseful && !IsProvedLonger && Now >= NextAskAt)
    askProbers(Now);
  bool AreOffersAwaited = OffersUntil && Now < *OffersUntil;
  if (!IsProbing && !AreOffersAwaited && Now >= NextProbeAt &&
      isProbeNeeded(Now))
    startProbe(Now);
}

void group_supervisor::askProbers(base::time_point Now) {
  NextAskAt = Now + (Size.IsProber ? AskInterval : PassiveAskInterval);
  const std::vector<std::string> &Probers = Size.Probers;
  if (Probers.empty())
    return;
  OffersUntil = Now + OfferPatience;
  Fleet.send(proof_wish{Group, Now}, Probers.front());
  for (std::size_t Count = 1; Count < std::min(AskedProbers, Probers.size());
       ++Count)
    Fleet.send(proof_wish{Group, Now},
               Probers[1 + ++ProberIndex % (Probers.size() - 1)]);
}

void group_supervisor::receive(const proof_wish &Wish,
                               const std::string &ReplyTo,
                               base::time_point Now) {
  if (std::optional<proof_offer> Offer = offer(Wish, Now)) {
    Fleet.send(*Offer, ReplyTo);
    return;
  }
  if (!Size.IsProber)
    return;
  if (Wishes.size() < MaxWishes)
    Wishes.push_back({Wish, ReplyTo, Now});
  wantProof(Now);
}

void group_supervisor::answerWishes(base::time_point Now) {
  std::erase_if(Wishes, [&](const open_wish &Open) {
    std::optional<proof_offer> Offer = offer(Open.Wish, Now);
    if (Offer)
      Fleet.send(*Offer, Open.ReplyTo);
    return Offer || Now >= Open.ReceivedAt + WishLifetime;
  });
}

std::optional<proof_offer> group_supervisor::offer(const proof_wish &Wish,
                                                   base::time_point Now) const {
  bool IsOfUse = !isPrimaryDoubted() &&
                 Leadership.isProved(Now + RenewalTime + OfferMargin);
  if (!IsOfUse)
    return std::nullopt;
  proof_offer Offer;
  Offer.Group = Group;
  Offer.AskedAt = Wish.SentAt;
  Offer.Primary = *Leadership.primary();
  Offer.Term = Leadership.term();
  Offer.Age = Now - Leadership.provedAt();
  if (auto Newest = Leadership.newestEvidence()) {
    Offer.Position = Newest->Position;
    Offer.PositionAge = Now - Newest->SentAt;
  }
  return Offer;
}

bool group_supervisor::receive(const proof_offer &Offer, base::time_point Now) {
  base::time_point ProvedAt = Offer.AskedAt - Offer.Age;
  bool IsNewer = ProvedAt > Leadership.provedAt();
  // A prober settles its doubts itself. Other hosts take a proof that is newer
  // than the failure they have seen.
  bool IsDoubted = Size.IsProber
                       ? isPrimaryDoubted()
                       : isPrimarySilent() || ProvedAt <= FirstFailureAt;
  if (IsDoubted || Offer.Age < base::duration::zero() || Offer.AskedAt > Now)
    return false;
  Leadership.noteProof(Offer.Primary, Offer.Term, ProvedAt);
  if (Offer.Position)
    Leadership.notePosition(Offer.Primary, *Offer.Position,
                            Offer.AskedAt - Offer.PositionAge);
  if (!Leadership.isProved(Now))
    return false;
  if (IsNewer)
    noteProved(Now);
  if (Leadership.isProved(Now + RenewalTime)) {
    // The proof may run out soon again; then the next wish is due at once.
    OffersUntil.reset();
    NextAskAt = Now;
  }
  return true;
}

bool group_supervisor::isProbeNeeded(base::time_point Now) const {
  if (Now >= WantedAt + demandLifetime())
    return false;
  // Hosts that do not probe only look whether they reach the primary again.
  if (!Size.IsProber)
    return isPrimaryDoubted() && Leadership.primary();
  return isPrimaryDoubted() || !Leadership.isProved(Now + RenewalTime);
}

bool group_supervisor::isReached(const base::instance_id &Instance,
                                 base::time_point Now) const {
  auto Dated = Leadership.conditions().find(Instance);
  return Dated != Leadership.conditions().end() &&
         Now <= Dated->second.SentAt + ReachedLifetime;
}

std::vector<base::instance_id>
group_supervisor::probeTargets(base::time_point Now) const {
  std::vector<base::instance_id> All;
  for (const auto &[Instance, Member] : Members)
    All.push_back(Instance);
  const std::optional<base::instance_id> &Primary = Leadership.primary();
  if (!Primary)
    return All;
  if (!Size.IsProber && !Size.IsPromoter)
    return {*Primary};
  if (isPrimaryDoubted() || isPrimaryLeaving())
    return All;
  // The primary and one replica prove it; calls within the domain are cheap.
  std::optional<base::instance_id> Confirming;
  for (const auto &[Instance, Member] : Members) {
    bool IsNear = Member.Listing.Domain == Options.Domain;
    bool IsCandidate =
        Instance != *Primary && Member.IsListed && isReached(Instance, Now);
    if (IsCandidate && (!Confirming || IsNear))
      Confirming = Instance;
  }
  if (!Confirming)
    return All;
  return {*Primary, *Confirming};
}

void group_supervisor::startProbe(base::time_point Now) {
  IsProbing = true;
  ProbeStartedAt = Now;
  NextProbeAt = Now + Options.ProbeInterval;
  backend_request Status;
  Status.Verb = backend_verb::Status;
  for (const base::instance_id &Instance : probeTargets(Now))
    Pool.call(Instance, CallAccount, Status, Now);
}

void group_supervisor::endProbe(base::time_point Now) {
  IsProbing = false;
  if (FailedProbes++ == 0) {
    FirstFailureAt = ProbeStartedAt;
    base::json Fields = Leadership.dump();
    Fields["group"] = Group.str();
    Log.belief("primary not proved by a probe", Fields);
  }
  NextProbeAt = std::max(NextProbeAt, Now);
}

void group_supervisor::noteProved(base::time_point Now) {
  IsProbing = false;
  FailedProbes = 0;
  FirstFailureAt = {};
  answerWishes(Now);
  if (LoggedPrimary == Leadership.primary() && LoggedTerm == Leadership.term())
    return;
  LoggedPrimary = Leadership.primary();
  LoggedTerm = Leadership.term();
  WriteTimeouts = 0;
  ReplaceSince.reset();
  base::json Fields = Leadership.dump();
  Fields["group"] = Group.str();
  Log.belief("primary proved", Fields);
}

void group_supervisor::noteFailure(const base::instance_id &Instance,
                                   base::time_point Now) {
  if (Leadership.primary() != Instance)
    return;
  if (FirstFailureAt <= Leadership.provedAt())
    FirstFailureAt = Now;
  wantProof(Now);
}

void group_supervisor::noteWriteTimeout(const base::instance_id &Instance) {
  if (Leadership.primary() != Instance)
    return;
  ++WriteTimeouts;
}

void group_supervisor::noteCommit(const base::instance_id &Instance,
                                  groups::log_position Position,
                                  base::time_point SentAt,
                                  base::time_point Now) {
  Leadership.noteCommit(Instance, Position, SentAt);
  if (Leadership.primary() == Instance) {
    WriteTimeouts = 0;
    bool IsProvedSinceFailure = SentAt > FirstFailureAt;
    if (IsProvedSinceFailure && Settings.SyncReplicas > 0)
      noteProved(Now);
  }
}

bool group_supervisor::callAnswered(const base::instance_id &Instance,
                                    const instance_condition &Condition,
                                    base::time_point SentAt,
                                    base::time_point Now) {
  Leadership.noteCondition(Instance, Condition, SentAt);
  promotion_actions Actions;
  Promotion.instanceAnswered(Instance, Condition, Now, Actions);
  perform(Actions, Now);
  bool IsReachable = !Size.IsProber && IsProbing &&
                     Leadership.primary() == Instance &&
                     Condition.Role == groups::instance_role::Primary;
  if (IsReachable) {
    // Its proof has to come from a prober, asked from now on.
    IsProbing = false;
    FailedProbes = 0;
    NextAskAt = Now;
  }
  bool IsProved = Leadership.isProved(Now) &&
                  Leadership.provedAt() >= ProbeStartedAt &&
                  Leadership.provedAt() >= FirstFailureAt;
  if (IsProved &&
      (IsProbing || FailedProbes > 0 || LoggedTerm != Leadership.term()))
    noteProved(Now);
  return IsProved;
}

void group_supervisor::advance(base::time_point Now) {
  bool IsForgotten = false;
  std::erase_if(Members, [&](const auto &Entry) {
    const member_state &Member = Entry.second;
    bool IsOld = !Member.IsListed &&
                 (Now >= Member.UnlistedAt + Options.UnlistedLifetime ||
                  hasLeft(Entry.first, Member));
    IsForgotten = IsForgotten || IsOld;
    return IsOld;
  });
  if (IsForgotten)
    updateMembers();
  if (IsProbing && Now >= ProbeStartedAt + Options.StatusTimeout)
    endProbe(Now);
  seekProof(Now);
  considerPromotion(Now);
  promotion_actions Actions;
  Promotion.advance(Now, Actions);
  perform(Actions, Now);
}

base::time_point group_supervisor::nextWake(base::time_point Now) const {
  base::time_point Wake = Promotion.nextWake();
  if (IsProbing)
    Wake = std::min(Wake, ProbeStartedAt + Options.StatusTimeout);
  else if (isProbeNeeded(Now))
    Wake = std::min(Wake, std::max(NextProbeAt, OffersUntil.value_or(Now)));
  else if (Size.IsProber && Now < WantedAt + DemandLifetime)
    Wake = std::min(Wake, Leadership.provedAt() + Options.LeaseDuration -
                              RenewalTime);
  else if (Now < WantedAt + demandLifetime() && !Leadership.isProved(Now))
    Wake = std::min(Wake, NextAskAt);
  if (ReplaceSince)
    Wake = std::min(Wake, *ReplaceSince + Size.PromotionDelay);
  if (isSuspected(Now))
    Wake = std::min(Wake, NextVoteAt);
  return Wake;
}

base::json group_supervisor::dump() const {
  base::json Result = Leadership.dump();
  Result["failed_probes"] = FailedProbes;
  Result["write_timeouts"] = WriteTimeouts;
  Result["prober"] = Size.IsProber;
  Result["first_prober"] = Size.IsFirstProber;
  Result["open_wishes"] = Wishes.size();
  Result["promotion"] = Promotion.dump();
  return Result;
}

} // namespace radishrelay::sessions::detail
