#include "radishrelay/daemon/daemon_process.h"

#include "radishrelay/backend/backend_thread.h"
#include "radishrelay/base/bounded_ring.h"
#include "radishrelay/base/digest.h"
#include "radishrelay/base/rendezvous.h"
#include "radishrelay/daemon/caller_listener.h"
#include "radishrelay/daemon/datagram_thread.h"
#include "radishrelay/daemon/operator_listener.h"
#include "radishrelay/daemon/peer_rpc_client.h"
#include "radishrelay/daemon/peer_rpc_server.h"
#include "radishrelay/daemon/pending_replies.h"
#include "radishrelay/daemon/platform_threads.h"
#include "radishrelay/daemon/relay.h"
#include "radishrelay/daemon/request_reader.h"
#include "radishrelay/daemon/server_sockets.h"

#include <Poco/StringTokenizer.h>
#include <Poco/Timestamp.h>

#include <atomic>
#include <future>

namespace radishrelay::daemon {

namespace {

constexpr std::size_t EventRingSize = 131072;
constexpr base::duration ReplyTimeout = std::chrono::seconds(5);
/// A forwarded request keeps its caller's deadline, so the reply can take up to
/// the longest timeout that a caller can request.
constexpr base::duration ForwardReplyTimeout =
    std::chrono::milliseconds(MaxTimeoutMilliseconds) + ReplyTimeout;
constexpr base::duration CloseTimeout = std::chrono::seconds(5);

relay_options relayOptions(const daemon_settings &Settings) {
  relay_options Options;
  Options.Host = base::host_id(Settings.HostId);
  Options.FailureDomain = base::failure_domain_id(Settings.FailureDomain);
  // Membership and leases require an incarnation that increases with each
  // start of the host.
  Options.Incarnation =
      static_cast<std::uint64_t>(Poco::Timestamp().epochMicroseconds());
  Options.PeerAddress = Settings.PeersAddress;
  Poco::StringTokenizer Join(Settings.PeersJoin, ",",
                             Poco::StringTokenizer::TOK_TRIM |
                                 Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  Options.JoinAddresses.assign(Join.begin(), Join.end());
  Options.Drain.BalancerWait =
      std::chrono::milliseconds(Settings.BalancerWaitMilliseconds);
  Options.Drain.WorkTimeout =
      std::chrono::milliseconds(Settings.DrainTimeoutMilliseconds);
  Options.MaxRequestsInFlight =
      static_cast<std::size_t>(Settings.MaxRequestsInFlight);
  Options.PlatformTimeout =
      std::chrono::milliseconds(Settings.PlatformTimeoutMilliseconds);
  Options.Seed =
      base::stableHash(Settings.HostId + std::to_string(Options.Incarnation));
  return Options;
}

} // namespace

struct daemon_process::implementation : relay_outputs {
  explicit implementation(const daemon_settings &Settings)
      : Settings(Settings), Authenticator(Settings.PeersSecret),
        Relay(relayOptions(Settings), *this, Metrics,
              base::monotonic_clock::now()),
        Backend({}, [this](auto Event) { push(std::move(Event)); }),
        Platform(Settings.PlatformAddress,
                 [this](auto Event) { push(std::move(Event)); }),
        PeerClient(Authenticator,
                   [this](auto Event) { push(std::move(Event)); }),
        Datagrams(Settings.PeersAddress, Authenticator,
                  [this](std::string &&Message, const std::string &Sender) {
                    push(datagram_received{std::move(Message), Sender});
                  }),
        PeerServer(Settings.PeersAddress, Authenticator,
                   [this](peer_method Method, const base::json &Parameters) {
                     return serve(Method, Parameters);
                   }),
        Callers(
            openServerSocket(Settings.CallersAddress,
                             Settings.CallersCertificate,
                             Settings.CallersPrivateKey),
            [this](http_request &&Request) {
              return accept(std::move(Request));
            },
            [this](caller_connection_id Id) { push(caller_disconnected{Id}); }),
        Operators(
            openServerSocket(Settings.OperatorsAddress,
                             Settings.OperatorsCertificate,
                             Settings.OperatorsPrivateKey),
            Settings.OperatorTokenDigests,
            [this](const operator_request &Request) { return serve(Request); }),
        DecisionThread([this] { runDecisionLoop(); }) {
    Callers.start();
    base::json Fields = base::json::object();
    Fields["host"] = Settings.HostId;
    Fields["callers_port"] = Callers.port();
    Fields["operators_port"] = Operators.port();
    Fields["peers_port"] = PeerServer.port();
    base::logEvent(base::log_level::Info, "listening", Fields);
  }

  ~implementation() override { shutDown(); }

  /// Thread function of the decision thread: handles one event at a time, and
  /// the relay's timers when they are due.
  void runDecisionLoop() {
    while (!Finished) {
      base::time_point Wake = Relay.nextWake();
      std::optional<relay_event> Event = Events.popUntil(Wake);
      base::time_point Now = base::monotonic_clock::now();
      if (Event)
        Relay.handle(std::move(*Event), Now);
      if (Now >= Wake)
        Relay.tick(Now);
    }
  }

  template <typename Event> void push(Event &&Content) {
    // The ring holds more events than there can be open requests, runs and
    // calls. If it is full nevertheless, waiting slows down the producing
    // thread.
    Events.pushUntil(relay_event(std::forward<Event>(Content)),
                     base::monotonic_clock::now() + std::chrono::seconds(1));
  }

  /// Parses a caller's request and queues it for the decision thread. Runs on
  /// the listener thread. The caller's key is verified here and not passed on.
  std::optional<http_answer> accept(http_request &&Request) {
    service_view_ptr Current = std::atomic_load(&View);
    if (!Current)
      return problemAnswer(
          Request.Connection,
          {problem_code::ConfigurationStale, groups::ran_state::No,
           "the host has no configuration yet", "read request", "", 1});
    auto Read =
        readCallerRequest(Request, Current, base::monotonic_clock::now());
    if (auto *Problem = std::get_if<problem>(&Read)) {
      Metrics.increment({"radishrelay_requests_refused_total", "code",
                         std::string(codeName(Problem->Code))});
      return problemAnswer(Request.Connection, *Problem);
    }
    relay_event Event(std::move(std::get<caller_request>(Read)));
    if (Events.tryPush(std::move(Event)))
      return std::nullopt;
    return problemAnswer(Request.Connection,
                         {problem_code::Overloaded, groups::ran_state::No,
                          "too many events wait", "read request", "", 1});
  }

  std::optional<base::json> serve(peer_method Method,
                                  const base::json &Parameters) {
    reply_id Id = PeerReplies.add();
    push(peer_call_received{Id, Method, Parameters});
    base::duration Timeout =
        Method == peer_method::Forward ? ForwardReplyTimeout : ReplyTimeout;
    return PeerReplies.waitFor(Id, base::monotonic_clock::now() + Timeout);
  }

  std::optional<operator_reply> serve(const operator_request &Request) {
    reply_id Id = OperatorReplies.add();
    push(operator_request_received{Id, Request});
    return OperatorReplies.waitFor(Id,
                                   base::monotonic_clock::now() + ReplyTimeout);
  }

  // Implementation of relay_outputs.
  [[nodiscard]] base::time_point clock() const override {
    return base::monotonic_clock::now();
  }
  void answerCaller(http_answer &&Answer) override {
    Callers.sendAnswer(std::move(Answer));
  }
  bool submitToBackend(backend::backend_command &&Command) override {
    return Backend.submit(std::move(Command));
  }
  bool submitToPlatform(platform_request &&Request) override {
    return Platform.submit(std::move(Request));
  }
  bool callPeer(peer_call &&Call) override {
    return PeerClient.call(std::move(Call));
  }
  void sendDatagram(const std::string &Address,
                    const std::string &Message) override {
    Datagrams.send(Address, Message);
  }
  void replyToPeer(reply_id Reply, base::json &&Result) override {
    PeerReplies.deliver(Reply, std::move(Result));
  }
  void replyToOperator(reply_id Reply, operator_reply &&Result) override {
    OperatorReplies.deliver(Reply, std::move(Result));
  }
  void publishView(const service_view_ptr &Next) override {
    std::atomic_store(&View, Next);
  }
  void log(base::log_level Level, std::string_view Event,
           const base::json &Fields) override {
    base::logEvent(Level, Event, Fields);
  }
  void finished() override {
    Finished = true;
    Ended.set_value();
  }

  void shutDown() {
    if (!DecisionThread.joinable())
      return;
    DecisionThread.join();
    Callers.stop(base::monotonic_clock::now() + CloseTimeout);
    Operators.stop();
    PeerServer.stop();
    PeerClient.stop();
    Datagrams.stop();
    Platform.stop();
    Backend.stop();
  }

  daemon_settings Settings;
  base::metrics_registry Metrics;
  base::bounded_ring<relay_event> Events{EventRingSize};
  pending_replies<base::json> PeerReplies;
  pending_replies<operator_reply> OperatorReplies;
  service_view_ptr View;
  peer_authenticator Authenticator;
  std::atomic<bool> Finished{false};
  std::promise<void> Ended;
  relay Relay;
  backend::backend_thread Backend;
  platform_threads Platform;
  peer_rpc_client PeerClient;
  datagram_thread Datagrams;
  peer_rpc_server PeerServer;
  caller_listener Callers;
  operator_listener Operators;
  std::thread DecisionThread;
};

daemon_process::daemon_process(const daemon_settings &Settings)
    : Implementation(std::make_unique<implementation>(Settings)) {}

daemon_process::~daemon_process() = default;

void daemon_process::requestStop() { Implementation->push(stop_requested{}); }

void daemon_process::wait() {
  Implementation->Ended.get_future().wait();
  Implementation->shutDown();
}

} // namespace radishrelay::daemon
