#include "radishrelay/daemon/session_daemon.h"

#include "radishrelay/base/host_port.h"
#include "radishrelay/base/log.h"
#include "radishrelay/base/rendezvous.h"
#include "radishrelay/daemon/store_call_name.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timestamp.h>

#include <array>

namespace radishrelay::daemon {

namespace {

using sessions::backend_number;
using sessions::refusal;
using sessions::session_number;

constexpr std::size_t MaxDatagramBytes = 1400;
/// End of the leaving period of an instance in which it gets no new work. It
/// covers the delay of the instance list and statements that wait.
constexpr base::duration LeavingMargin = std::chrono::milliseconds(2500);

template <typename Number> std::uint64_t keyOf(Number Value) {
  return static_cast<std::uint64_t>(Value);
}

/// Time of the grace period in which statements and answers may end; the last
/// sixth remains for ending the process.
base::duration drainTime(base::duration Grace) { return Grace * 5 / 6; }

sessions::engine_options engineOptions(const session_settings &Settings) {
  sessions::engine_options Options;
  Options.Host = base::host_id(Settings.HostId);
  Options.Domain = base::failure_domain_id(Settings.FailureDomain);
  Options.Incarnation = std::to_string(Poco::Timestamp().epochMicroseconds());
  Options.PeerAddress = Settings.PeersAddress;
  Options.RandomSeed = base::stableHash(Settings.HostId + Options.Incarnation);
  base::duration Leaving =
      std::chrono::milliseconds(Settings.LeavingMilliseconds);
  Options.LeavingDuration = Leaving;
  Options.LeavingUsePeriod =
      std::max(base::duration::zero(), Leaving - LeavingMargin);
  Options.EvacuationDuration =
      std::chrono::milliseconds(Settings.EvacuationMilliseconds);
  Options.ColdOverage = Settings.ColdOverage;
  Options.ColdSlack = Settings.ColdSlack;
  for (const auto &[Domain, Region] : Settings.Regions)
    Options.Regions[base::failure_domain_id(Domain)] = base::region_id(Region);
  // Open transactions get half of the grace period.
  base::duration Grace = std::chrono::milliseconds(Settings.GraceMilliseconds);
  Options.TransactionDrainTimeout = Grace / 2 + std::chrono::milliseconds(100);
  Options.StatementDrainTimeout = drainTime(Grace);
  return Options;
}

} // namespace

/// Listens for client connections.
class session_daemon::client_listener final : public io_handler {
public:
  client_listener(session_daemon &Daemon, const std::string &Address)
      : Daemon(Daemon), Socket(Address) {
    Daemon.Loop.add(Socket.descriptor(), *this, false);
  }
  ~client_listener() override { Daemon.Loop.remove(Socket.descriptor()); }
  void readable() override {
    for (int Accepted = Socket.accept(); Accepted >= 0;
         Accepted = Socket.accept())
      Daemon.addClient(Accepted);
  }
  void writable() override {}

private:
  session_daemon &Daemon;
  listening_socket Socket;
};

/// Exchanges datagrams with other hosts.
class session_daemon::datagram_socket final : public io_handler {
public:
  datagram_socket(session_daemon &Daemon, const std::string &Address)
      : Daemon(Daemon), Socket(bindTo(Address)) {
    Socket.setBlocking(false);
    Daemon.Loop.add(Socket.impl()->sockfd(), *this, false);
  }
  ~datagram_socket() override { Daemon.Loop.remove(Socket.impl()->sockfd()); }
  void readable() override {
    std::array<char, MaxDatagramBytes> Buffer{};
    try {
      while (true) {
        // The count is negative if no datagram is pending.
        int Count = Socket.receiveBytes(Buffer.data(), MaxDatagramBytes);
        if (Count <= 0)
          return;
        Daemon.Engine.datagramReceived(
            std::string(Buffer.data(), static_cast<std::size_t>(Count)),
            base::monotonic_clock::now());
      }
    } catch (const Poco::Exception &Error) {
      // The error is about a datagram sent earlier (ICMP port unreachable);
      // nothing was received.
      base::logEvent(base::log_level::Debug, "datagram not received",
                     {{"error", Error.displayText()}});
    }
  }
  void writable() override {}
  void send(const std::string &Address, const std::string &Bytes) {
    // Any other text may cause a name look-up, which blocks the loop.
    if (!base::isServerAddress(Address)) {
      base::logEvent(base::log_level::Debug, "datagram not sent",
                     {{"peer", Address}, {"error", "not an address"}});
      return;
    }
    try {
      Socket.sendTo(Bytes.data(), static_cast<int>(Bytes.size()),
                    Poco::Net::SocketAddress(Address));
    } catch (const Poco::Exception &Error) {
      // The engine tolerates lost datagrams.
      base::logEvent(base::log_level::Debug, "datagram not sent",
                     {{"peer", Address}, {"error", Error.displayText()}});
    }
  }

private:
  static Poco::Net::DatagramSocket bindTo(const std::string &Address) {
    try {
      return {Poco::Net::SocketAddress(Address), false};
    } catch (const Poco::Net::NetException &Error) {
      throw Poco::Net::NetException("cannot receive datagrams on " + Address,
                                    Error.code());
    }
  }

  session_daemon &Daemon;
  Poco::Net::DatagramSocket Socket;
};

session_daemon::session_daemon(const session_settings &Settings,
                               const sessions::session_protocol &Protocol,
                               sessions::fleet_services NewServices)
    : Settings(Settings), Protocol(Protocol), Log(Metrics),
      Engine(engineOptions(Settings), *this, *this, *this, Log),
      Listener(
          std::make_unique<client_listener>(*this, Settings.SessionsAddress)),
      Datagrams(
          std::make_unique<datagram_socket>(*this, Settings.PeersAddress)) {
  auto BuildPage = [this](const std::string &Path) { return statusPage(Path); };
  Readiness = std::make_unique<status_listener>(Loop, Settings.ReadinessAddress,
                                                BuildPage);
  MetricsPages = std::make_unique<status_listener>(
      Loop, Settings.MetricsAddress, BuildPage);
  Services = std::make_unique<service_threads>(std::move(NewServices), Loop,
                                               serviceEvents());
  base::logEvent(base::log_level::Info, "started",
                 {{"host", Settings.HostId},
                  {"domain", Settings.FailureDomain},
                  {"sessions", Settings.SessionsAddress}});
}

session_daemon::~session_daemon() = default;

service_events session_daemon::serviceEvents() {
  service_events Events;
  Events.Catalog = [this](const auto &Catalog,
                          const sessions::read_times &Times) {
    Engine.catalogRead(Catalog, Times, base::monotonic_clock::now());
  };
  Events.Instances = [this](const auto &Reading,
                            const sessions::read_times &Times) {
    Engine.instancesRead(Reading, Times, base::monotonic_clock::now());
  };
  Events.Answer = [this](auto Call, const base::store_answer &Answer) {
    Engine.storeAnswered(Call, Answer, base::monotonic_clock::now());
  };
  Events.Promotion = [this](auto Call, sessions::order_outcome Outcome) {
    Engine.promotionAnswered(Call, Outcome, base::monotonic_clock::now());
  };
  Events.Dependency = [](std::string_view Service,
                         const base::failure &Failure) {
    base::json Fields = Failure ? base::logFields(Failure) : base::json();
    Fields["service"] = Service;
    base::logEvent(Failure ? base::log_level::Warning : base::log_level::Info,
                   Failure ? "dependency lost" : "dependency regained", Fields);
  };
  return Events;
}

void session_daemon::run() {
  while (!Engine.isDrained()) {
    base::time_point Now = base::monotonic_clock::now();
    Loop.runOnce(Engine.nextWake(Now));
    Engine.advance(base::monotonic_clock::now());
    flushOutputs();
    ClosedStreams.clear();
  }
  sendRemainingOutput();
  updateGauges();
  base::logEvent(base::log_level::Info, "drained",
                 {{"host", Settings.HostId}, {"metrics", Metrics.dump()}});
}

void session_daemon::sendRemainingOutput() {
  Listener.reset();
  std::vector<session_number> Open;
  for (const auto &[Number, Client] : Clients)
    Open.push_back(session_number{Number});
  for (session_number Session : Open)
    close(Session);
  while (!Clients.empty() && base::monotonic_clock::now() < OutputDeadline) {
    Loop.runOnce(OutputDeadline);
    flushOutputs();
    ClosedStreams.clear();
  }
}

void session_daemon::requestStop() {
  Loop.post([this] {
    base::time_point Now = base::monotonic_clock::now();
    OutputDeadline =
        Now + drainTime(std::chrono::milliseconds(Settings.GraceMilliseconds));
    Engine.drain(Now);
  });
}

void session_daemon::requestReload() {
  // The settings file only holds the host's addresses and periods, which stay
  // in force until a restart; the configuration comes from the store.
  Loop.post([this] {
    base::logEvent(base::log_level::Info, "reload requested; settings are kept",
                   {{"host", Settings.HostId}});
  });
}

void session_daemon::flushOutputs() {
  // A failed send ends its stream, which may produce output on other streams.
  while (!DirtyClients.empty() || !DirtyBackends.empty()) {
    auto DueClients = std::exchange(DirtyClients, {});
    for (session_number Session : DueClients)
      if (auto Entry = Clients.find(keyOf(Session)); Entry != Clients.end())
        Entry->second.Stream->flush();
    auto DueBackends = std::exchange(DirtyBackends, {});
    for (backend_number Connection : DueBackends)
      if (auto Entry = Backends.find(keyOf(Connection));
          Entry != Backends.end())
        Entry->second.Stream->flush();
  }
}

void session_daemon::addClient(int Descriptor) {
  session_number Session{++LastSession};
  client &Client = Clients[keyOf(Session)];
  line_stream_events Events;
  Events.Line = [this, Session](std::string_view Line) {
    Engine.clientMessage(Session, Protocol.decodeClientLine(Line),
                         base::monotonic_clock::now());
  };
  Events.Ended = [this, Session] { clientEnded(Session); };
  Client.Stream =
      std::make_unique<line_stream>(Loop, Descriptor, std::move(Events));
}

void session_daemon::clientEnded(session_number Session) {
  auto Entry = Clients.extract(keyOf(Session));
  if (Entry.empty())
    return;
  ClosedStreams.push_back(std::move(Entry.mapped().Stream));
  Engine.clientDisconnected(Session, base::monotonic_clock::now());
}

void session_daemon::accept(session_number Session) {
  auto Entry = Clients.find(keyOf(Session));
  if (Entry == Clients.end())
    return;
  Protocol.encodeAccepted(Entry->second.Stream->output());
  DirtyClients.push_back(Session);
}

void session_daemon::reject(session_number Session, refusal Reason,
                            const std::string &Text) {
  auto Entry = Clients.find(keyOf(Session));
  if (Entry == Clients.end())
    return;
  Protocol.encodeRejected(Reason, Text, Entry->second.Stream->output());
  close(Session);
}

void session_daemon::answer(session_number Session,
                            const sessions::client_answer &Answer) {
  auto Entry = Clients.find(keyOf(Session));
  if (Entry == Clients.end())
    return;
  if (Answer.Error)
    Metrics.increment({"radishrelay_statement_errors_total", "error",
                       std::string(sessions::refusalName(*Answer.Error))});
  Protocol.encode(Answer, Entry->second.Stream->output());
  DirtyClients.push_back(Session);
}

void session_daemon::close(session_number Session) {
  auto Entry = Clients.find(keyOf(Session));
  if (Entry != Clients.end())
    Loop.post([this, Session] {
      auto Client = Clients.find(keyOf(Session));
      if (Client != Clients.end())
        Client->second.Stream->closeAfterOutput();
    });
}

void session_daemon::open(backend_number Connection,
                          const sessions::instance_listing &Instance,
                          const base::account_id &Account) {
  int Descriptor = line_stream::connect(Instance.Address);
  if (Descriptor < 0) {
    Loop.post([this, Connection] {
      Engine.backendLost(Connection, std::nullopt,
                         base::monotonic_clock::now());
    });
    return;
  }
  backend &Backend = Backends[keyOf(Connection)];
  line_stream_events Events;
  Events.Connected = [] {};
  Events.Line = [this, Connection](std::string_view Line) {
    backendLine(Connection, Line);
  };
  Events.Ended = [this, Connection] { backendEnded(Connection); };
  Backend.Stream =
      std::make_unique<line_stream>(Loop, Descriptor, std::move(Events));
  Protocol.encodeStart(Instance.Group, Account, Instance.Instance,
                       Backend.Stream->output());
}

void session_daemon::send(backend_number Connection,
                          const sessions::backend_request &Request) {
  auto Entry = Backends.find(keyOf(Connection));
  if (Entry == Backends.end())
    return;
  Protocol.encode(Request, Entry->second.Stream->output());
  Entry->second.Awaited.push_back(Request.Verb);
  DirtyBackends.push_back(Connection);
}

void session_daemon::close(backend_number Connection) {
  auto Entry = Backends.extract(keyOf(Connection));
  if (!Entry.empty())
    ClosedStreams.push_back(std::move(Entry.mapped().Stream));
}

bool session_daemon::hasUnreadInput(backend_number Connection) const {
  auto Entry = Backends.find(keyOf(Connection));
  return Entry != Backends.end() && Entry->second.Stream->hasUnreadInput();
}

void session_daemon::backendLine(backend_number Connection,
                                 std::string_view Line) {
  auto Entry = Backends.find(keyOf(Connection));
  if (Entry == Backends.end())
    return;
  backend &Backend = Entry->second;
  base::time_point Now = base::monotonic_clock::now();
  if (!Backend.IsOpen) {
    Backend.IsOpen = true;
    std::optional<refusal> Reason = Protocol.decodeStartAnswer(Line);
    if (Reason)
      Engine.backendLost(Connection, Reason, Now);
    else
      Engine.backendOpened(Connection, Now);
    return;
  }
  // A line without a request is reported at once, since what follows it must
  // not become part of the answer to a later request.
  bool IsAwaited = !Backend.Awaited.empty();
  sessions::backend_verb Verb =
      IsAwaited ? Backend.Awaited.front() : sessions::backend_verb::Begin;
  bool IsComplete = Protocol.decodeBackendLine(Line, Verb, Backend.Reply);
  if (IsAwaited && !IsComplete)
    return;
  sessions::backend_reply Reply = std::exchange(Backend.Reply, {});
  if (IsAwaited)
    Backend.Awaited.pop_front();
  Engine.backendReplied(Connection, Reply, Now);
}

void session_daemon::backendEnded(backend_number Connection) {
  auto Entry = Backends.extract(keyOf(Connection));
  if (Entry.empty())
    return;
  ClosedStreams.push_back(std::move(Entry.mapped().Stream));
  Engine.backendLost(Connection, std::nullopt, base::monotonic_clock::now());
}

void session_daemon::execute(sessions::store_call_number Call,
                             const base::store_request &Request) {
  countStoreCall(storeCallName(Request));
  if (Services->execute(Call, Request))
    return;
  Loop.post([this, Call] {
    base::store_answer Answer;
    Answer.Outcome = base::store_outcome::NotDone;
    Engine.storeAnswered(Call, Answer, base::monotonic_clock::now());
  });
}

void session_daemon::promote(sessions::store_call_number Call,
                             const base::group_id &Group,
                             const base::instance_id &Instance,
                             std::uint64_t Generation,
                             base::time_point Deadline) {
  countStoreCall("promote");
  if (Services->promote(Call, Group, Instance, base::host_id(Settings.HostId),
                        Generation, Deadline))
    return;
  Loop.post([this, Call] {
    Engine.promotionAnswered(Call, sessions::order_outcome::NotDone,
                             base::monotonic_clock::now());
  });
}

void session_daemon::readCatalog(base::duration Wait) {
  countStoreCall(readCallName("configuration", Wait));
  Services->readCatalog(Wait);
}

void session_daemon::readInstances(base::duration Wait) {
  countStoreCall(readCallName("instances", Wait));
  Services->readInstances(Wait);
}

void session_daemon::sendDatagram(const std::string &Address,
                                  const std::string &Bytes) {
  Datagrams->send(Address, Bytes);
}

} // namespace radishrelay::daemon
