#include "support/simulated_host.h"

#include "support/fake_fleet.h"

namespace radishrelay::sessions::tests {

namespace {

constexpr base::duration PollInterval = 30ms;
constexpr base::duration StoreTime = 4ms;
/// Time after which a call that got no answer from the store has failed.
constexpr base::duration StoreCallTimeout = 1000ms;
constexpr base::duration HandshakeTime = 12ms;

/// "read TABLE" or "write TABLE".
std::string callName(const base::store_request &Request) {
  if (const auto *Row = std::get_if<base::read_row>(&Request))
    return "read " + Row->Key.Table;
  if (const auto *Table = std::get_if<base::read_table>(&Request))
    return "read " + Table->Table;
  const auto &Writes = std::get<base::store_transaction>(Request).Writes;
  return "write " + (Writes.empty() ? "" : Writes.front().Key.Table);
}

} // namespace

simulated_host::simulated_host(simulated_world &World, const std::string &Name,
                               const std::string &Domain)
    : World(World), Name(Name), Domain(Domain),
      Clients(World.Load.ClientsPerHost) {
  World.Network.place(Name, Domain);
}

void simulated_host::start() {
  if (Engine)
    return;
  engine_options Options;
  Options.Host = base::host_id(Name);
  Options.Domain = base::failure_domain_id(Domain);
  Options.Incarnation = std::to_string(++Run);
  Options.PeerAddress = Name + ":1";
  Options.RandomSeed = World.Random();
  Engine =
      std::make_unique<session_engine>(Options, *this, *this, *this, *this);
  Engine->setCatalog(World.Configuration, World.Queue.now());
  for (std::size_t Index = 0; Index < Clients.size(); ++Index)
    connectClient(Index);
  settle();
}

void simulated_host::kill() {
  WakeAt = base::time_point::max();
  for (const auto &[Number, Connection] : Open)
    World.Groups.of(Connection.Instance).endConnection(connectionName(Number));
  ++Run;
  Engine.reset();
  Open.clear();
  SeenListing = 0;
  SeenEvacuations = 0;
}

void simulated_host::deliverIn(base::duration Delay,
                               std::function<void()> Event) {
  World.Queue.scheduleIn(Delay, [this, AtRun = Run, Event = std::move(Event)] {
    if (Run != AtRun || !Engine)
      return;
    if (World.Queue.now() < FrozenUntil) {
      deliverIn(FrozenUntil - World.Queue.now(), Event);
      return;
    }
    Event();
    settle();
  });
}

void simulated_host::settle() {
  if (!Engine)
    return;
  Engine->advance(World.Queue.now());
  scheduleWake();
}

void simulated_host::scheduleWake() {
  base::time_point Next =
      std::max(Engine->nextWake(World.Queue.now()), World.Queue.now() + 1ms);
  if (Next >= WakeAt)
    return;
  WakeAt = Next;
  deliverIn(Next - World.Queue.now(), [this, Next] {
    if (WakeAt == Next)
      WakeAt = base::time_point::max();
  });
}

base::duration simulated_host::latencyTo(const std::string &Node) {
  return World.Network.latency(Name, Node) +
         std::chrono::microseconds(World.Random.below(400));
}

std::string simulated_host::connectionName(backend_number Connection) const {
  return Name + "/" + std::to_string(Run) + "/" +
         std::to_string(static_cast<std::uint64_t>(Connection));
}

// Connections to instances.

void simulated_host::open(backend_number Number,
                          const instance_listing &Listing,
                          const base::account_id &) {
  open_connection &Connection = Open[Number];
  Connection.Instance = Listing.Instance;
  std::string Target = Listing.Instance.str();
  base::duration Latency = latencyTo(Target);
  World.Queue.scheduleIn(Latency, [this, AtRun = Run, Number, Target, Latency] {
    auto Entry = Open.find(Number);
    if (Run != AtRun || Entry == Open.end() ||
        !World.Network.reaches(Name, Target))
      return;
    const simulated_instance &Instance = World.Groups.of(Entry->second.Instance)
                                             .instances()
                                             .at(Entry->second.Instance);
    if (!Instance.IsRunning) {
      deliverIn(Latency, [this, Number] { loseConnection(Number); });
      return;
    }
    Entry->second.Run = Instance.Run;
    deliverIn(Latency + HandshakeTime, [this, Number, Target] {
      if (Open.contains(Number) && World.Network.reaches(Name, Target))
        Engine->backendOpened(Number, World.Queue.now());
    });
  });
}

void simulated_host::send(backend_number Number,
                          const backend_request &Request) {
  auto Entry = Open.find(Number);
  if (Entry == Open.end() || Entry->second.IsSilent)
    return;
  open_connection &Connection = Entry->second;
  std::string Target = Connection.Instance.str();
  Connection.Unanswered.push_back(Request.Verb);
  if (!World.Network.reaches(Name, Target)) {
    Connection.IsSilent = true;
    return;
  }
  base::time_point At =
      std::max(World.Queue.now() + latencyTo(Target), Connection.LastDelivery);
  Connection.LastDelivery = At;
  World.Queue.schedule(At, [this, AtRun = Run, Number, Target, Request] {
    auto Current = Open.find(Number);
    // The instance still runs what a host sent before it was killed.
    bool IsHostsRun = Run == AtRun;
    if (IsHostsRun && Current == Open.end())
      return;
    simulated_group &Group = World.Groups.of(base::instance_id(Target));
    const simulated_instance &Instance =
        Group.instances().at(base::instance_id(Target));
    if (!IsHostsRun || !Instance.IsRunning ||
        Instance.Run != Current->second.Run) {
      if (IsHostsRun && World.Network.reaches(Name, Target))
        deliverIn(latencyTo(Target),
                  [this, Number] { loseConnection(Number); });
      return;
    }
    bool IsStatement = Request.Verb == backend_verb::Forward ||
                       Request.Verb == backend_verb::Execute ||
                       Request.Verb == backend_verb::Begin ||
                       Request.Verb == backend_verb::BeginReadOnly;
    if (IsStatement)
      World.StatementArrived(Name, Instance, !Request.Id.empty());
    Group.execute(
        base::instance_id(Target), connectionName(Number), Request,
        [this, AtRun, Number, Verb = Request.Verb](const backend_reply &Reply) {
          return Run == AtRun && receiveReply(Number, Verb, Reply);
        });
  });
}

bool simulated_host::receiveReply(backend_number Number, backend_verb Verb,
                                  const backend_reply &Reply) {
  auto Entry = Open.find(Number);
  if (Entry == Open.end() || Entry->second.IsSilent)
    return false;
  std::string Target = Entry->second.Instance.str();
  if (!World.Network.reaches(Target, Name)) {
    Entry->second.IsSilent = true;
    return false;
  }
  base::duration Latency = latencyTo(Target);
  if (Entry->second.HasSecondAnswers)
    Latency = std::max(Latency, Entry->second.LastAnswer - World.Queue.now());
  Entry->second.LastAnswer = World.Queue.now() + Latency;
  Entry->second.Arrivals.push_back(Entry->second.LastAnswer);
  deliverIn(Latency, [this, Number, Reply] { deliverReply(Number, Reply); });
  if (std::optional<base::duration> Delay =
          World.Groups.of(Entry->second.Instance)
              .drawSecondAnswer(Entry->second.Instance, Verb))
    sendAgain(Number, Verb, Reply, *Delay);
  return true;
}

void simulated_host::deliverReply(backend_number Number,
                                  const backend_reply &Reply) {
  auto Entry = Open.find(Number);
  if (Entry == Open.end())
    return;
  Entry->second.Arrivals.pop_front();
  if (!Entry->second.Unanswered.empty())
    Entry->second.Unanswered.pop_front();
  Engine->backendReplied(Number, Reply, World.Queue.now());
}

bool simulated_host::hasUnreadInput(backend_number Number) const {
  auto Entry = Open.find(Number);
  return Entry != Open.end() && !Entry->second.Arrivals.empty() &&
         Entry->second.Arrivals.front() <= World.Queue.now();
}

void simulated_host::sendAgain(backend_number Number, backend_verb Verb,
                               const backend_reply &Reply,
                               base::duration Delay) {
  World.Queue.scheduleIn(Delay, [this, AtRun = Run, Number, Verb, Reply] {
    auto Entry = Open.find(Number);
    if (Run != AtRun || Entry == Open.end() || Entry->second.IsSilent)
      return;
    open_connection &Connection = Entry->second;
    const simulated_instance &Instance = World.Groups.of(Connection.Instance)
                                             .instances()
                                             .at(Connection.Instance);
    if (!Instance.IsRunning || Instance.Run != Connection.Run)
      return;
    std::string Target = Connection.Instance.str();
    if (!World.Network.reaches(Target, Name)) {
      Connection.IsSilent = true;
      return;
    }
    base::time_point At =
        std::max(World.Queue.now() + latencyTo(Target), Connection.LastAnswer);
    Connection.LastAnswer = At;
    Connection.Arrivals.push_back(At);
    Connection.HasSecondAnswers = true;
    deliverIn(At - World.Queue.now(), [this, Number, Verb, Reply] {
      traceSecondAnswer(Number, Verb);
      deliverReply(Number, Reply);
    });
  });
}

void simulated_host::traceSecondAnswer(backend_number Number,
                                       backend_verb Verb) {
  auto Entry = Open.find(Number);
  if (!World.Trace || Entry == Open.end())
    return;
  const std::deque<backend_verb> &Unanswered = Entry->second.Unanswered;
  World.Trace(connectionName(Number) + " second answer of " +
              Entry->second.Instance.str() + " to " +
              std::string(verbName(Verb)) + ", awaited: " +
              (Unanswered.empty() ? "none"
                                  : std::string(verbName(Unanswered.front()))));
}

void simulated_host::loseConnection(backend_number Number) {
  if (!Open.contains(Number))
    return;
  close(Number);
  Engine->backendLost(Number, std::nullopt, World.Queue.now());
}

void simulated_host::close(backend_number Number) {
  auto Entry = Open.extract(Number);
  if (!Entry.empty())
    World.Groups.of(Entry.mapped().Instance)
        .endConnection(connectionName(Number));
}

// Calls to the platform.

void simulated_host::execute(store_call_number Call,
                             const base::store_request &Request) {
  base::time_point SentAt = World.Queue.now();
  ++World.StoreCalls[callName(Request)];
  World.Queue.scheduleIn(StoreTime, [this, AtRun = Run, Call, Request, SentAt] {
    if (Run != AtRun)
      return;
    base::store_answer Answer;
    base::duration Delay = StoreTime;
    bool Reaches = World.Network.reaches(Name, simulated_store::Node);
    if (World.Store.isDown() || !Reaches) {
      Answer.Outcome =
          Reaches ? base::store_outcome::NotDone : base::store_outcome::Unknown;
      Delay = Reaches ? StoreTime : StoreCallTimeout;
    } else {
      Answer = World.Store.execute(Request);
      const auto *Written = std::get_if<base::store_transaction>(&Request);
      bool IsClaim = Written && !Written->Writes.empty() &&
                     Written->Writes.front().Key.Table == "promotions";
      if (IsClaim && Answer.Outcome == base::store_outcome::Done)
        World.Claimed(Name);
    }
    Answer.SentAt = SentAt;
    deliverIn(Delay, [this, Call, Answer] {
      Engine->storeAnswered(Call, Answer, World.Queue.now());
    });
  });
}

void simulated_host::promote(store_call_number Call, const base::group_id &,
                             const base::instance_id &Instance,
                             std::uint64_t Generation, base::time_point) {
  World.Queue.scheduleIn(StoreTime, [this, AtRun = Run, Call, Instance,
                                     Generation] {
    bool Reaches = World.Network.reaches(Name, simulated_store::Node);
    order_outcome Outcome = order_outcome::Unknown;
    if (Reaches)
      Outcome = receiveOrder(Instance, Generation) ? order_outcome::Accepted
                                                   : order_outcome::NotDone;
    else
      holdUpOrder(Instance, Generation);
    if (Run == AtRun)
      deliverIn(Reaches ? StoreTime : StoreCallTimeout, [this, Call, Outcome] {
        Engine->promotionAnswered(Call, Outcome, World.Queue.now());
      });
  });
}

bool simulated_host::receiveOrder(const base::instance_id &Instance,
                                  std::uint64_t Generation) {
  simulated_group &Group = World.Groups.of(Instance);
  Group.recordOrder(Name, Generation);
  return Group.promote(Instance);
}

void simulated_host::holdUpOrder(const base::instance_id &Instance,
                                 std::uint64_t Generation) {
  World.Queue.scheduleIn(StoreTime, [this, Instance, Generation] {
    if (World.Network.reaches(Name, simulated_store::Node))
      receiveOrder(Instance, Generation);
    else
      holdUpOrder(Instance, Generation);
  });
}

void simulated_host::readCatalog(base::duration Wait) {
  pollCatalog(World.Queue.now(), Wait);
}

void simulated_host::pollCatalog(base::time_point SentAt, base::duration Wait) {
  World.Queue.scheduleIn(StoreTime, [this, AtRun = Run, SentAt, Wait] {
    if (Run != AtRun)
      return;
    bool Reaches = World.Network.reaches(Name, simulated_store::Node);
    read_times Times{SentAt, Wait};
    if (!Reaches || World.Store.isDown()) {
      deliverIn(Reaches ? StoreTime : StoreCallTimeout, [this, Times] {
        Engine->catalogRead(
            base::failure{std::make_error_code(std::errc::timed_out),
                          "read configuration", "store", ""},
            Times, World.Queue.now());
      });
      return;
    }
    bool IsChanged = World.Store.evacuationsVersion() != SeenEvacuations;
    if (!IsChanged && World.Queue.now() < SentAt + Wait) {
      World.Queue.scheduleIn(PollInterval, [this, AtRun, SentAt, Wait] {
        if (Run == AtRun)
          pollCatalog(SentAt, Wait);
      });
      return;
    }
    catalog_reading Reading = World.Store.evacuations();
    SeenEvacuations = World.Store.evacuationsVersion();
    deliverIn(StoreTime, [this, Reading, Times] {
      Engine->catalogRead(Reading, Times, World.Queue.now());
    });
  });
}

void simulated_host::readInstances(base::duration Wait) {
  pollInstances(World.Queue.now(), Wait);
}

void simulated_host::pollInstances(base::time_point SentAt,
                                   base::duration Wait) {
  World.Queue.scheduleIn(StoreTime, [this, AtRun = Run, SentAt, Wait] {
    if (Run != AtRun)
      return;
    bool Reaches = World.Network.reaches(Name, simulated_store::Node);
    read_times Times{SentAt, Wait};
    if (!Reaches || World.Store.isDown()) {
      deliverIn(Reaches ? StoreTime : StoreCallTimeout, [this, Times] {
        Engine->instancesRead(
            base::failure{std::make_error_code(std::errc::timed_out),
                          "read list", "store", ""},
            Times, World.Queue.now());
      });
      return;
    }
    bool IsChanged = World.Store.listingVersion() != SeenListing;
    if (!IsChanged && World.Queue.now() < SentAt + Wait) {
      World.Queue.scheduleIn(PollInterval, [this, AtRun, SentAt, Wait] {
        if (Run == AtRun)
          pollInstances(SentAt, Wait);
      });
      return;
    }
    instance_reading Reading = World.Store.listing();
    SeenListing = Reading.ChangedVersion;
    deliverIn(StoreTime, [this, Reading, Times] {
      Engine->instancesRead(Reading, Times, World.Queue.now());
    });
  });
}

void simulated_host::sendDatagram(const std::string &Address,
                                  const std::string &Bytes) {
  World.SendDatagram(Name, Address, Bytes);
}

void simulated_host::receiveDatagram(const std::string &Bytes) {
  deliverIn({}, [this, Bytes] {
    Engine->datagramReceived(Bytes, World.Queue.now());
  });
}

void simulated_host::stateChange(std::string_view Event,
                                 const base::json &Fields) {
  if (World.Trace)
    World.Trace(Name + " " + std::string(Event) + " " + Fields.dump());
}

} // namespace radishrelay::sessions::tests
