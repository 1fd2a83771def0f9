#ifndef RADISHRELAY_DAEMON_SESSION_DAEMON_H
#define RADISHRELAY_DAEMON_SESSION_DAEMON_H

#include "radishrelay/daemon/decision_log.h"
#include "radishrelay/daemon/line_stream.h"
#include "radishrelay/daemon/service_threads.h"
#include "radishrelay/daemon/session_settings.h"
#include "radishrelay/daemon/status_listener.h"
#include "radishrelay/sessions/listing_cache.h"
#include "radishrelay/sessions/session_engine.h"
#include "radishrelay/sessions/session_protocol.h"

#include <memory>
#include <unordered_map>

namespace radishrelay::daemon {

/// Serves sessions on one event loop. It connects a session_engine, which makes
/// the decisions, to sockets, the platform's services and the log.
class session_daemon final : sessions::client_port,
                             sessions::backend_port,
                             sessions::coordination_port {
public:
  /// Throws Poco::Net::NetException if an address cannot be bound.
  session_daemon(const session_settings &Settings,
                 const sessions::session_protocol &Protocol,
                 sessions::fleet_services Services);
  ~session_daemon() override;

  /// Serves until a graceful shutdown is complete.
  void run();
  /// Requests a graceful shutdown; may be called from any thread.
  void requestStop();
  /// Handles a request to reload the settings: logs that they are kept until
  /// the next start. May be called from any thread.
  void requestReload();

private:
  class client_listener;
  class datagram_socket;

  struct client {
    std::unique_ptr<line_stream> Stream;
  };
  struct backend {
    std::unique_ptr<line_stream> Stream;
    bool IsOpen = false;
    std::deque<sessions::backend_verb> Awaited;
    sessions::backend_reply Reply;
  };

  // sessions::client_port
  void accept(sessions::session_number Session) override;
  void reject(sessions::session_number Session, sessions::refusal Reason,
              const std::string &Text) override;
  void answer(sessions::session_number Session,
              const sessions::client_answer &Answer) override;
  void close(sessions::session_number Session) override;
  // sessions::backend_port
  void open(sessions::backend_number Connection,
            const sessions::instance_listing &Instance,
            const base::account_id &Account) override;
  void send(sessions::backend_number Connection,
            const sessions::backend_request &Request) override;
  void close(sessions::backend_number Connection) override;
  [[nodiscard]] bool
  hasUnreadInput(sessions::backend_number Connection) const override;
  // sessions::coordination_port
  void execute(sessions::store_call_number Call,
               const base::store_request &Request) override;
  void promote(sessions::store_call_number Call, const base::group_id &Group,
               const base::instance_id &Instance, std::uint64_t Generation,
               base::time_point Deadline) override;
  void readCatalog(base::duration Wait) override;
  void readInstances(base::duration Wait) override;
  void sendDatagram(const std::string &Address,
                    const std::string &Bytes) override;

  void addClient(int Descriptor);
  void clientEnded(sessions::session_number Session);
  void backendLine(sessions::backend_number Connection, std::string_view Line);
  void backendEnded(sessions::backend_number Connection);
  void flushOutputs();
  /// Closes the connections of clients once their output is sent.
  void sendRemainingOutput();
  service_events serviceEvents();
  status_page statusPage(const std::string &Path);
  void updateGauges();
  /// Counts a call to the platform, by what it does.
  void countStoreCall(const std::string &Call);

  session_settings Settings;
  const sessions::session_protocol &Protocol;
  base::metrics_registry Metrics;
  decision_log Log;
  event_loop Loop;
  std::unordered_map<std::uint64_t, client> Clients;
  std::unordered_map<std::uint64_t, backend> Backends;
  std::vector<sessions::session_number> DirtyClients;
  /// Time until which a stop waits for clients to receive their answers.
  base::time_point OutputDeadline;
  std::vector<sessions::backend_number> DirtyBackends;
  /// Streams of closed connections. They are destroyed after the current events
  /// are dispatched, since a stream's own callback may close it.
  std::vector<std::unique_ptr<line_stream>> ClosedStreams;
  std::uint64_t LastSession = 0;
  sessions::session_engine Engine;
  std::unique_ptr<client_listener> Listener;
  std::unique_ptr<datagram_socket> Datagrams;
  std::unique_ptr<status_listener> Readiness;
  std::unique_ptr<status_listener> MetricsPages;
  std::unique_ptr<service_threads> Services;
};

} // namespace radishrelay::daemon

#endif
