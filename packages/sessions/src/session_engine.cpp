#include "radishrelay/sessions/session_engine.h"

#include <algorithm>

namespace radishrelay::sessions {

namespace {

/// Interval between checks for idle transactions and surplus connections, which
/// need no exact timing.
constexpr base::duration TrimInterval = std::chrono::milliseconds(100);
/// Time from the choice of an instance until the statement reaches it, which
/// includes opening a connection.
constexpr base::duration StatementTransferTime = std::chrono::milliseconds(500);

} // namespace

session_engine::session_engine(const engine_options &Options,
                               client_port &Clients, backend_port &Backends,
                               coordination_port &Coordination, event_log &Log)
    : Options(Options), Clients(Clients), Coordination(Coordination), Log(Log),
      Doubts(Counters, Log), Store(Coordination),
      Pool(Options, Backends, Doubts),
      Members(Options, Store, Coordination, Log),
      Claims(
          Options, Store, Members,
          [this](const auto &Reading, auto Now) { claimsRead(Reading, Now); }),
      Contact(Options, Members), Limits(Options, Members, Log),
      Evacuations(Options.EvacuationDuration - StatementTransferTime) {}

bool session_engine::isReady() const {
  return Catalog && !Instances.empty() && !IsDraining;
}

void session_engine::catalogRead(const base::expected<catalog_reading> &Reading,
                                 const read_times &Times,
                                 base::time_point Now) {
  if (!Reading) {
    Watch.failed(detail::watched_source::Catalog, Now);
    return;
  }
  const catalog_ptr &Read = Reading->Catalog;
  recordRead(detail::watched_source::Catalog, Reading->Span, Read != nullptr,
             Now);
  if (Read && Catalog && Read->Version < Catalog->Version)
    Log.stateChange("older configuration ignored",
                    {{"version", Read->Version},
                     {"adopted", Catalog->Version},
                     {"history", base::historyOf(Reading->Span.UpTo)}});
  if (Read && Catalog)
    setCatalog(Read, Now);
  else if (Read)
    Starting.read(Read);
  const catalog_ptr &Newest = Catalog ? Catalog : Starting.newest();
  std::uint64_t Version = Newest ? Newest->Version : 0;
  recordEvacuations(*Reading,
                    Watch.confirmedAt(detail::watched_source::Catalog), Now);
  Watch.confirmed(detail::watched_source::Catalog,
                  {Version, Version, Evacuations.digest()}, Times, Now);
}

void session_engine::instancesRead(
    const base::expected<instance_reading> &Reading, const read_times &Times,
    base::time_point Now) {
  if (!Reading) {
    Watch.failed(detail::watched_source::Instances, Now);
    return;
  }
  bool IsChanged = Reading->ChangedVersion == Reading->Span.UpTo;
  recordRead(detail::watched_source::Instances, Reading->Span, IsChanged, Now);
  base::time_point ConfirmedAt =
      Watch.confirmedAt(detail::watched_source::Instances);
  Watch.confirmed(detail::watched_source::Instances,
                  {Reading->Span.UpTo, Reading->ChangedVersion}, Times, Now);
  if (Watch.hadOutage(detail::watched_source::Instances))
    Listings.recordOutage();
  setInstances(Listings.merge(Reading->List, Now), ConfirmedAt, Now);
}

void session_engine::recordRead(detail::watched_source Source,
                                const read_span &Span, bool IsChanged,
                                base::time_point Now) {
  base::json Fields = {{"source", detail::sourceName(Source)},
                       {"history", base::historyOf(Span.UpTo)},
                       {"version", base::storeNumberOf(Span.UpTo)},
                       {"after_history", base::historyOf(Span.After)},
                       {"after", base::storeNumberOf(Span.After)},
                       {"changed", IsChanged},
                       {"configuration", configurationVersion()}};
  if (!recordHistory(Span.UpTo, Fields, Now) && Watch.isFailing(Source))
    Log.stateChange("store read again after failures", Fields);
}

bool session_engine::recordHistory(base::row_version Version, base::json Fields,
                                   base::time_point Now) {
  bool IsFirst = !History.firstSeenAt();
  std::uint64_t Before = History.current();
  if (!History.observe(Version, Now))
    return false;
  Counters.StoreHistoryChanges += IsFirst ? 0 : 1;
  Fields["history"] = History.current();
  Fields["before"] = Before;
  Log.stateChange("store history changed", Fields);
  return true;
}

void session_engine::adoptFirstCatalog(base::time_point Now) {
  if (Catalog || !Starting.newest())
    return;
  if (!Starting.hasAsked() && Members.isKnown()) {
    std::vector<std::string> Others =
        Members.someOthers(detail::starting_catalog::MaxAsked);
    Starting.ask(Others, Now);
    for (const std::string &Address : Others)
      Members.send(detail::report_request{}, Address);
  }
  catalog_ptr Adoptable = Starting.adoptable(Now);
  if (!Adoptable)
    return;
  if (Adoptable->Version < Starting.reportedVersion())
    Log.stateChange("configuration older than that of other hosts",
                    {{"version", Adoptable->Version},
                     {"reported", Starting.reportedVersion()}});
  setCatalog(Adoptable, Now);
}

void session_engine::watchStore(base::time_point Now) {
  Watch.setWatcher(Members.isWatcher());
  Watch.setPromoting(std::ranges::any_of(
      Groups, [](const auto &Entry) { return Entry.second->isPromoting(); }));
  if (auto Wait = Watch.startCall(detail::watched_source::Catalog, Now))
    Coordination.readCatalog(*Wait);
  if (auto Wait = Watch.startCall(detail::watched_source::Instances, Now))
    Coordination.readInstances(*Wait);
  if (auto Report = Watch.takeReport(Now))
    Members.sendToDomain(*Report, Now);
  if (auto Settled = Listings.dropExpired(Now))
    setInstances(*Settled, Watch.confirmedAt(detail::watched_source::Instances),
                 Now);
}

void session_engine::setCatalog(catalog_ptr NewCatalog, base::time_point Now) {
  bool IsNewer = !Catalog || NewCatalog->Version > Catalog->Version;
  if (!IsNewer)
    return;
  Log.stateChange("configuration adopted",
                  {{"version", NewCatalog->Version},
                   {"before", Catalog ? Catalog->Version : 0},
                   {"routes", NewCatalog->Routes.size()}});
  Catalog = std::move(NewCatalog);
  Limits.setCatalog(Catalog, Now);
  updateGroups(Now);
  updateColdLimits(Now);
  endWithdrawnTransactions(Now);
}

void session_engine::setInstances(const std::vector<instance_listing> &List,
                                  base::time_point ConfirmedAt,
                                  base::time_point Now) {
  std::map<base::instance_id, instance_listing> ById;
  for (const instance_listing &Listing : List)
    ById.emplace(Listing.Instance, Listing);
  for (const auto &[Instance, Listing] : ById) {
    instance_view &View = Instances[Instance];
    bool IsRestarted = View.Listing.StartedAt != Listing.StartedAt;
    if (Listing.Draining && !View.Listing.Draining)
      // It was announced after the last confirmation, which may be long ago.
      View.UsableUntil = std::min(Now + Options.LeavingUsePeriod,
                                  ConfirmedAt + Options.LeavingDuration -
                                      StatementTransferTime);
    if (IsRestarted)
      View.KnownPosition = {};
    bool IsNewReport = IsRestarted || View.Listing.Version != Listing.Version ||
                       View.Listing.Sequence != Listing.Sequence;
    if (IsNewReport)
      View.ColdUntil = Now + Listing.ColdTime;
    if (IsRestarted)
      View.RestartUntil = {};
    bool IsSame = View.Listing.hasSameContent(Listing);
    View.Listing = Listing;
    if (!IsSame) {
      Log.stateChange(
          "instance listed",
          {{"instance", Instance.str()},
           {"group", Listing.Group.str()},
           {"domain", Listing.Domain.str()},
           {"draining", Listing.Draining},
           {"primary", Listing.Role == groups::instance_role::Primary}});
    }
  }
  std::erase_if(Instances, [&](const auto &Entry) {
    bool IsGone = !ById.contains(Entry.first);
    if (IsGone)
      Log.stateChange("instance no longer listed",
                      {{"instance", Entry.first.str()}});
    return IsGone;
  });
  Pool.setInstances(ById, Now);
  for (auto &[Id, Group] : Groups)
    Group->setListings(ById, Now);
  updateGroups(Now);
  updateColdLimits(Now);
  ShouldServeWaiting = true;
}

void session_engine::updateGroups(base::time_point Now) {
  if (!Catalog)
    return;
  if (!StartedAt)
    StartedAt = Now;
  std::map<base::instance_id, instance_listing> List;
  for (const auto &[Instance, View] : Instances)
    List.emplace(Instance, View.Listing);
  bool HaveHostsChanged = HostsVersion != Members.hostsVersion();
  HostsVersion = Members.hostsVersion();
  for (const auto &[Id, Settings] : Catalog->Groups) {
    auto [Entry, IsNew] = Groups.try_emplace(Id);
    if (IsNew) {
      Entry->second = std::make_unique<supervisor>(Id, Options, Pool, Store,
                                                   History, Members, Claims,
                                                   Contact, Log, *StartedAt);
      Entry->second->setListings(List, Now);
      Entry->second->setEvacuated(Evacuations.evacuated(), Evacuations.closed(),
                                  Now);
      if (IsDraining)
        Entry->second->stopPromoting();
    }
    Entry->second->setSettings(Settings);
    if (!Catalog->Limits.empty())
      Entry->second->setCallAccount(Catalog->Limits.begin()->first);
    if (IsNew || HaveHostsChanged)
      Entry->second->setRoles(Members.rolesFor(Id));
    Pool.setLimit(Id, Settings.ConnectionLimit, Members.size());
  }
}

session_engine::supervisor *
session_engine::groupOf(const base::group_id &Group) {
  auto Entry = Groups.find(Group);
  return Entry == Groups.end() ? nullptr : Entry->second.get();
}

session_engine::connection *
session_engine::connectionOf(const session &Session) {
  if (Session.Transaction.Connection)
    return Pool.find(*Session.Transaction.Connection);
  auto Entry = Attached.find(Session.Number);
  return Entry == Attached.end() ? nullptr : Pool.find(Entry->second);
}

void session_engine::clientMessage(session_number Number,
                                   const client_message &Message,
                                   base::time_point Now) {
  session &Session = Sessions[Number];
  Session.Number = Number;
  if (const auto *Start = std::get_if<start_session>(&Message)) {
    start(Session, *Start, Now);
  } else if (const auto *Run = std::get_if<run_statement>(&Message)) {
    receive(Session, *Run, Now);
  } else {
    Clients.close(Number);
    remove(Number, Now);
  }
}

void session_engine::clientDisconnected(session_number Number,
                                        base::time_point Now) {
  remove(Number, Now);
}

void session_engine::remove(session_number Number, base::time_point Now) {
  auto Entry = Sessions.find(Number);
  if (Entry == Sessions.end())
    return;
  session &Session = Entry->second;
  if (connection *Connection = connectionOf(Session)) {
    if (Connection->Use == detail::connection_use::Opening)
      Connection->Session.reset();
    else if (!Connection->Outstanding.empty() || Session.Transaction.HasBegun)
      Pool.rollBackAndRelease(*Connection, Now);
    else
      Pool.release(*Connection, Now);
    ShouldServeWaiting = true;
  }
  detach(Session);
  Sessions.erase(Entry);
}

void session_engine::detach(session &Session) {
  Attached.erase(Session.Number);
  if (!Session.Current)
    return;
  Wakes.erase({Session.Current->WakeAt, Session.Number});
  Session.Current->WakeAt = base::time_point::max();
  Waiting.erase(
      {Session.Route.Priority, Session.Current->ReceivedAt, Session.Number});
}

void session_engine::storeAnswered(store_call_number Call,
                                   const base::store_answer &Answer,
                                   base::time_point Now) {
  if (Answer.Outcome == base::store_outcome::Done)
    recordHistory(Answer.Version, {{"source", "tables"}}, Now);
  Store.answered(Call, Answer, Now);
  if (Members.hostsVersion() != HostsVersion)
    updateGroups(Now);
}

void session_engine::claimsRead(const detail::claim_reading &Reading,
                                base::time_point Now) {
  for (auto &[Id, Group] : Groups)
    if (Reading.Range.contains(Id))
      Group->claimRead(Reading.Range.of(Id), Reading.ReadAt, Now);
  ShouldServeWaiting = true;
}

void session_engine::promotionAnswered(store_call_number Call,
                                       order_outcome Outcome,
                                       base::time_point Now) {
  Store.orderAnswered(Call, Outcome, Now);
}

void session_engine::setWake(session &Session, base::time_point At) {
  operation &Operation = *Session.Current;
  Wakes.erase({Operation.WakeAt, Session.Number});
  Operation.WakeAt = At;
  if (At != base::time_point::max())
    Wakes.emplace(At, Session.Number);
}

void session_engine::advance(base::time_point Now) {
  runPipelinedStatements(Now);
  while (!Wakes.empty() && Wakes.begin()->first <= Now) {
    session_number Number = Wakes.begin()->second;
    Wakes.erase(Wakes.begin());
    auto Entry = Sessions.find(Number);
    if (Entry == Sessions.end() || !Entry->second.Current)
      continue;
    Entry->second.Current->WakeAt = base::time_point::max();
    operationDue(Entry->second, Now);
  }
  closeOverdueConnections(Now);
  applyEvacuations(Now);
  if (Now >= NextColdEnd)
    updateColdLimits(Now);
  for (auto &[Id, Group] : Groups) {
    Group->recordListConfirmed(
        Watch.confirmedAt(detail::watched_source::Instances),
        Watch.isComplete(detail::watched_source::Instances, Now));
    Group->advance(Now);
    if (Group->takeListRequest())
      Watch.requestRead(detail::watched_source::Instances);
  }
  Members.advance(Now);
  Claims.advance(Now);
  Contact.advance(Now);
  adoptFirstCatalog(Now);
  watchStore(Now);
  Limits.advance(Now);
  if (Limits.takeUpdate())
    for (auto &[Number, Session] : Sessions)
      if (Session.Current && (Session.Current->Stage == stage::AwaitingToken ||
                              Session.Current->Stage == stage::AwaitingPermit))
        advanceOperation(Session, Now);
  if (Now >= NextTrimAt) {
    NextTrimAt = Now + TrimInterval;
    Pool.trim(Now);
    endIdleTransactions(Now);
    ShouldServeWaiting = true;
  }
  if (IsDraining)
    drainSessions(Now);
  if (ShouldServeWaiting)
    serveWaiting(Now);
  runPipelinedStatements(Now);
}

void session_engine::runPipelinedStatements(base::time_point Now) {
  while (!AnsweredSessions.empty()) {
    std::vector<session_number> Numbers = std::exchange(AnsweredSessions, {});
    for (session_number Number : Numbers) {
      auto Entry = Sessions.find(Number);
      if (Entry == Sessions.end() || Entry->second.Current ||
          Entry->second.PipelinedStatements.empty())
        continue;
      run_statement Next = std::move(Entry->second.PipelinedStatements.front());
      Entry->second.PipelinedStatements.pop_front();
      run(Entry->second, Next, Now);
    }
  }
}

base::time_point session_engine::nextWake(base::time_point Now) const {
  base::time_point Wake =
      std::min({NextTrimAt, Members.nextWake(), Claims.nextWake(),
                Contact.nextWake(), Limits.nextWake(), Watch.nextWake(),
                Evacuations.nextWake(), NextColdEnd});
  if (!Catalog)
    Wake = std::min(Wake, Starting.nextWake());
  if (!Wakes.empty())
    Wake = std::min(Wake, Wakes.begin()->first);
  Wake = std::min(Wake, Pool.nextDeadline());
  // The periodic calls of a group need no finer resolution.
  constexpr base::duration MinGroupWakeDelay = std::chrono::milliseconds(5);
  for (const auto &[Id, Group] : Groups)
    Wake =
        std::min(Wake, std::max(Group->nextWake(Now), Now + MinGroupWakeDelay));
  return Wake;
}

void session_engine::closeOverdueConnections(base::time_point Now) {
  for (backend_number Number : Pool.overdue(Now)) {
    connection *Connection = Pool.find(Number);
    if (!Connection)
      continue;
    base::instance_id Instance = Connection->Instance;
    base::group_id Group = Connection->Group;
    std::optional<session_number> Owner = Connection->Session;
    if (Log.wantsDecision(true))
      Log.decision(
          "backend connection overdue",
          {{"instance", Instance.str()},
           {"opening", Connection->Use == detail::connection_use::Opening},
           {"for_session", Owner.has_value()}});
    Pool.discard(Number);
    if (supervisor *Supervisor = groupOf(Group))
      Supervisor->recordFailure(Instance, Now);
    auto Entry = Owner ? Sessions.find(*Owner) : Sessions.end();
    if (Entry != Sessions.end())
      connectionLost(Entry->second, Instance, std::nullopt, Now);
  }
}

base::json session_engine::dump() const {
  base::json Result = base::json::object();
  Result["configuration_version"] = Catalog ? Catalog->Version : 0;
  Result["sessions"] = Sessions.size();
  Result["waiting"] = Waiting.size();
  Result["draining"] = IsDraining;
  Result["instances"] = Pool.dump();
  Result["fleet"] = Members.dump();
  Result["claims"] = Claims.dump();
  Result["limits"] = Limits.dump();
  Result["store"] = Watch.dump();
  Result["evacuations"] = Evacuations.dump();
  for (const auto &[Id, Group] : Groups)
    Result["groups"][Id.str()] = Group->dump();
  return Result;
}

} // namespace radishrelay::sessions
