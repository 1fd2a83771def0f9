#ifndef RADISHRELAY_SESSIONS_SESSION_ENGINE_H
#define RADISHRELAY_SESSIONS_SESSION_ENGINE_H

#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/client_message.h"
#include "radishrelay/sessions/client_port.h"
#include "radishrelay/sessions/detail/backend_pool.h"
#include "radishrelay/sessions/detail/fleet_limits.h"
#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/group_supervisor.h"
#include "radishrelay/sessions/detail/session_state.h"
#include "radishrelay/sessions/detail/store_watch.h"
#include "radishrelay/sessions/engine_counters.h"
#include "radishrelay/sessions/fleet_services.h"
#include "radishrelay/sessions/listing_cache.h"
#include "radishrelay/sessions/read_times.h"

#include <memory>
#include <set>
#include <vector>

namespace radishrelay::sessions {

/// Serves sessions: decides which instance runs each statement, keeps
/// transactions on one connection, and answers truthfully when something fails.
///
/// Takes events with a time point and calls its ports; holds no socket, clock
/// or thread. Not safe for use by several threads.
class session_engine {
public:
  session_engine(const engine_options &Options, client_port &Clients,
                 backend_port &Backends, coordination_port &Coordination,
                 event_log &Log);

  void clientMessage(session_number Session, const client_message &Message,
                     base::time_point Now);
  /// The client's connection has ended.
  void clientGone(session_number Session, base::time_point Now);

  /// A backend connection is open for statements.
  void backendOpened(backend_number Connection, base::time_point Now);
  void backendReplied(backend_number Connection, const backend_reply &Reply,
                      base::time_point Now);
  /// A backend connection could not be opened or has ended; \p Reason is set
  /// when the instance rejected it.
  void backendLost(backend_number Connection, std::optional<refusal> Reason,
                   base::time_point Now);

  /// A read of the configuration has ended; null when there is no newer one.
  void catalogRead(const base::expected<catalog_ptr> &Reading,
                   const read_times &Times, base::time_point Now);
  void instancesRead(const base::expected<instance_reading> &Reading,
                     const read_times &Times, base::time_point Now);
  void setCatalog(catalog_ptr NewCatalog, base::time_point Now);
  void setInstances(const std::vector<instance_listing> &List,
                    base::time_point Now);
  void storeAnswered(store_call_number Call, const base::store_answer &Answer,
                     base::time_point Now);
  void promotionAnswered(store_call_number Call, bool Accepted,
                         base::time_point Now);
  void datagramReceived(const std::string &Bytes, base::time_point Now);

  /// Begins a graceful shutdown: sessions end between transactions.
  void drain(base::time_point Now);
  [[nodiscard]] bool isDrained() const {
    return IsDraining && Sessions.empty();
  }
  /// Whether the balancer should send new sessions.
  [[nodiscard]] bool isReady() const;

  /// Does what is due at \p Now.
  void advance(base::time_point Now);
  [[nodiscard]] base::time_point nextWake(base::time_point Now) const;

  [[nodiscard]] const engine_counters &counters() const { return Counters; }
  /// Requests sent to instances, by backend_verb.
  [[nodiscard]] const detail::request_counts &requests() const {
    return Pool.requests();
  }
  /// Connections to instances opened since the start.
  [[nodiscard]] std::uint64_t connectionsOpened() const {
    return Pool.opened();
  }
  [[nodiscard]] base::json dump() const;

private:
  using session = detail::session_state;
  using operation = detail::operation;
  using stage = detail::operation_stage;
  using connection = detail::backend_connection;
  using supervisor = detail::group_supervisor;

  /// What this host has seen of one instance.
  struct instance_view {
    instance_listing Listing;
    base::time_point DrainingSince;
    /// End of the log when last seen.
    groups::log_position Seen;
    /// A replica that lacked a position is not asked for it again before.
    base::time_point LaggingUntil;
    base::duration LagPause{};
    /// Not used for reads before, after a failure.
    base::time_point AvoidUntil;
    /// Smoothed time of a read.
    double ReadMicroseconds = 0;
  };

  // Statements of clients.
  void start(session &Session, const start_session &Message);
  void run(session &Session, const run_statement &Message,
           base::time_point Now);
  void runInFailedTransaction(session &Session, const statement &Statement,
                              base::time_point Now);
  bool runLocally(session &Session, const statement &Statement,
                  base::time_point Now);
  void begin(session &Session, base::time_point Now);
  void rollBack(session &Session, base::time_point Now);
  void endTransaction(session &Session, base::time_point Now);
  void runOnInstance(session &Session, const run_statement &Message,
                     base::time_point Now);
  [[nodiscard]] std::optional<client_answer> resolveRoute(session &Session);
  void answer(session &Session, client_answer Answer, base::time_point Now);
  void answerError(session &Session, refusal Reason, const std::string &Text,
                   base::time_point Now);
  void answerLocally(session &Session, base::time_point Now);

  // Routing.
  void advanceOperation(session &Session, base::time_point Now);
  void takeToken(session &Session, base::time_point Now);
  [[nodiscard]] std::int64_t
  countAwaitingToken(const base::account_id &Account) const;
  void chooseInstance(session &Session, base::time_point Now);
  void choosePrimary(session &Session, base::time_point Now);
  bool chooseReplica(session &Session, base::time_point Now);
  bool attach(session &Session, const base::instance_id &Instance,
              base::time_point Now);
  [[nodiscard]] std::int64_t readCost(const instance_view &View,
                                      const session &Session,
                                      std::optional<groups::log_position> After,
                                      base::time_point Now) const;
  [[nodiscard]] std::optional<groups::log_position>
  neededPosition(const session &Session, const supervisor &Group) const;
  [[nodiscard]] bool needsPrimary(const session &Session) const;
  void prepareConnection(session &Session, connection &Connection,
                         base::time_point Now);
  void sendStatement(session &Session, connection &Connection,
                     base::time_point Now);
  void serveWaiting(base::time_point Now);
  [[nodiscard]] bool hasRoomAtPrimary(const session &Session) const;
  void setWake(session &Session, base::time_point At);
  void operationDue(session &Session, base::time_point Now);

  // Answers of instances.
  void controlReplied(connection &Connection, const backend_reply &Reply,
                      base::time_point SentAt, base::time_point Now);
  void sessionReplied(session &Session, connection &Connection,
                      const backend_reply &Reply, base::time_point SentAt,
                      base::time_point Now);
  void noteReply(const connection &Connection, const session &Session,
                 const backend_reply &Reply, base::time_point SentAt,
                 base::time_point Now);
  [[nodiscard]] bool canTryElsewhere(const session &Session, refusal Reason,
                                     base::time_point Now) const;
  void tryElsewhere(session &Session, connection *Connection, refusal Reason,
                    session_phase BackendPhase, base::time_point Now);
  void noteRefusal(const base::instance_id &Instance, refusal Reason,
                   base::time_point Now);
  void connectionLost(session &Session, const base::instance_id &Instance,
                      std::optional<refusal> Reason, base::time_point Now);
  void statementTimedOut(session &Session, base::time_point Now);
  void detach(session &Session);
  void beginOrSend(session &Session, connection &Connection,
                   base::time_point Now);
  void beginReplied(session &Session, connection &Connection,
                    const backend_reply &Reply, base::time_point Now);
  void statementSucceeded(session &Session, connection &Connection,
                          const backend_reply &Reply, base::time_point Now);
  void statementFailed(session &Session, connection &Connection,
                       const backend_reply &Reply, base::time_point Now);
  void giveUpWaiting(session &Session, const std::string &Reason,
                     base::time_point Now);
  [[nodiscard]] base::time_point waitLimit(const session &Session,
                                           const supervisor &Group,
                                           base::time_point Now) const;
  void putBack(connection &Connection, session_phase BackendPhase,
               base::time_point Now);
  void finishOverdue(base::time_point Now);
  void runFollowing(base::time_point Now);

  void drainSessions(base::time_point Now);
  void endIdleTransactions(base::time_point Now);
  void logOutcome(const session &Session, const client_answer &Answer,
                  base::time_point Now);
  supervisor *groupOf(const base::group_id &Group);
  void updateGroups(base::time_point Now);
  void watchStore(base::time_point Now);
  connection *connectionOf(const session &Session);
  void remove(session_number Number, base::time_point Now);

  engine_options Options;
  client_port &Clients;
  coordination_port &Coordination;
  event_log &Log;
  detail::store_calls Store;
  detail::backend_pool Pool;
  detail::fleet_members Members;
  detail::fleet_limits Limits;
  detail::store_watch Watch;
  listing_cache Listings;
  /// Hosts for which the groups' parts were last assigned.
  std::uint64_t HostsVersion = 0;
  catalog_ptr Catalog;
  std::map<base::instance_id, instance_view> Instances;
  std::map<base::group_id, std::unique_ptr<supervisor>> Groups;
  std::map<session_number, session> Sessions;
  /// Connection of each session that has one outside a transaction.
  std::map<session_number, backend_number> Attached;
  std::set<std::pair<base::time_point, session_number>> Wakes;
  /// Sessions whose operation awaits a primary or a connection, in order of
  /// priority and arrival.
  std::set<std::tuple<int, base::time_point, session_number>> Waiting;
  bool ShouldServeWaiting = false;
  /// Sessions that may have a further statement to run.
  std::vector<session_number> Answered;
  base::time_point NextTrimAt;
  bool IsDraining = false;
  base::time_point DrainingSince;
  engine_counters Counters;
};

} // namespace radishrelay::sessions

#endif
