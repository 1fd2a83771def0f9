#ifndef RADISHRELAY_SESSIONS_SESSION_ENGINE_H
#define RADISHRELAY_SESSIONS_SESSION_ENGINE_H

#include "radishrelay/sessions/backend_reply.h"
#include "radishrelay/sessions/catalog.h"
#include "radishrelay/sessions/client_message.h"
#include "radishrelay/sessions/client_port.h"
#include "radishrelay/sessions/detail/answer_doubts.h"
#include "radishrelay/sessions/detail/backend_pool.h"
#include "radishrelay/sessions/detail/evacuations.h"
#include "radishrelay/sessions/detail/fleet_limits.h"
#include "radishrelay/sessions/detail/fleet_members.h"
#include "radishrelay/sessions/detail/group_supervisor.h"
#include "radishrelay/sessions/detail/session_state.h"
#include "radishrelay/sessions/detail/starting_catalog.h"
#include "radishrelay/sessions/detail/store_history.h"
#include "radishrelay/sessions/detail/store_watch.h"
#include "radishrelay/sessions/engine_counters.h"
#include "radishrelay/sessions/fleet_services.h"
#include "radishrelay/sessions/listing_cache.h"
#include "radishrelay/sessions/read_times.h"

#include <memory>
#include <set>
#include <vector>

namespace radishrelay::sessions {

/// Serves client sessions: chooses the instance that runs each statement, keeps
/// each transaction on one connection, and repeats a failed statement only if
/// it cannot be applied twice. If the outcome of a commit is unknown, the
/// client gets refusal::InDoubt.
///
/// The engine is driven by events, each with the time at which it occurred, and
/// acts through its ports. It holds no socket, clock or thread. Not
/// thread-safe.
class session_engine {
public:
  session_engine(const engine_options &Options, client_port &Clients,
                 backend_port &Backends, coordination_port &Coordination,
                 event_log &Log);

  void clientMessage(session_number Session, const client_message &Message,
                     base::time_point Now);
  /// Ends the session of a client whose connection was closed.
  void clientDisconnected(session_number Session, base::time_point Now);

  /// Called when a connection to an instance has been opened.
  void backendOpened(backend_number Connection, base::time_point Now);
  void backendReplied(backend_number Connection, const backend_reply &Reply,
                      base::time_point Now);
  /// Called when a connection to an instance could not be opened or was closed.
  /// \p Reason is the error with which the instance rejected it, if any.
  void backendLost(backend_number Connection, std::optional<refusal> Reason,
                   base::time_point Now);

  /// Called with the result of coordination_port::readCatalog.
  void catalogRead(const base::expected<catalog_reading> &Reading,
                   const read_times &Times, base::time_point Now);
  /// Called with the result of coordination_port::readInstances.
  void instancesRead(const base::expected<instance_reading> &Reading,
                     const read_times &Times, base::time_point Now);
  /// Adopts \p NewCatalog unless the present one is of the same version or a
  /// newer one.
  void setCatalog(catalog_ptr NewCatalog, base::time_point Now);
  /// \p ConfirmedAt is the latest time at which the list before this one was
  /// known to be current.
  void setInstances(const std::vector<instance_listing> &List,
                    base::time_point ConfirmedAt, base::time_point Now);
  void storeAnswered(store_call_number Call, const base::store_answer &Answer,
                     base::time_point Now);
  void promotionAnswered(store_call_number Call, order_outcome Outcome,
                         base::time_point Now);
  void datagramReceived(const std::string &Bytes, base::time_point Now);

  /// Starts a graceful shutdown, which closes sessions between transactions.
  /// See engine_options for its deadlines.
  void drain(base::time_point Now);
  /// Whether all sessions have ended and no promotion of this host is in
  /// progress.
  [[nodiscard]] bool isDrained() const;
  /// Whether the load balancer should send new sessions to this host.
  [[nodiscard]] bool isReady() const;

  /// Handles all timeouts and periodic work due at \p Now. Called after each
  /// batch of events and at nextWake.
  void advance(base::time_point Now);
  /// Returns when advance must be called next if no event occurs before.
  [[nodiscard]] base::time_point nextWake(base::time_point Now) const;

  [[nodiscard]] const engine_counters &counters() const { return Counters; }
  /// Version of the adopted configuration; 0 if there is none.
  [[nodiscard]] std::uint64_t configurationVersion() const {
    return Catalog ? Catalog->Version : 0;
  }
  /// Number of failure domains that are evacuated.
  [[nodiscard]] std::size_t evacuatedDomains() const {
    return Evacuations.evacuated().size();
  }
  /// The latest history of the store that this host has seen.
  [[nodiscard]] std::uint64_t storeHistory() const { return History.current(); }
  /// Requests sent to instances, by backend_verb.
  [[nodiscard]] const detail::request_counts &requests() const {
    return Pool.requests();
  }
  /// Number of connections that were opened to instances since the start.
  [[nodiscard]] std::uint64_t connectionsOpened() const {
    return Pool.opened();
  }
  /// Returns the engine's state for the status page.
  [[nodiscard]] base::json dump() const;

private:
  using session = detail::session_state;
  using operation = detail::operation;
  using stage = detail::operation_stage;
  using connection = detail::backend_connection;
  using supervisor = detail::group_supervisor;

  /// What this host knows about one instance.
  struct instance_view {
    instance_listing Listing;
    /// End of the time for which an instance that is shutting down may be given
    /// new work.
    base::time_point UsableUntil;
    /// Highest end of the log that the instance has reported.
    groups::log_position KnownPosition;
    /// Until then, the instance gets no read that requires a position above
    /// KnownPosition, because it has rejected one as lagging.
    base::time_point LaggingUntil;
    /// Length of the last such pause; it doubles with each rejection.
    base::duration LagPause{};
    /// Until then, reads prefer other instances, because this one has failed.
    base::time_point AvoidUntil;
    /// Exponentially smoothed duration of a read. 0 before the first one.
    double ReadMicroseconds = 0;
    /// Until when the instance is slow, by its own report.
    base::time_point ColdUntil;
    /// Until when the instance may have restarted without a report of that.
    base::time_point RestartUntil;
  };

  // Statements from clients; defined in session_statements.cpp.
  void start(session &Session, const start_session &Message,
             base::time_point Now);
  /// Runs a statement after those that the client sent before it.
  void receive(session &Session, const run_statement &Message,
               base::time_point Now);
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
  /// Whether the key with which an open transaction began belongs to its
  /// account no more. A transaction keeps its route, but not a withdrawn key.
  [[nodiscard]] bool isKeyWithdrawn(const session &Session) const;
  /// Ends the transactions whose key is withdrawn.
  void endWithdrawnTransactions(base::time_point Now);
  void answer(session &Session, client_answer Answer, base::time_point Now);
  void answerError(session &Session, refusal Reason, const std::string &Text,
                   base::time_point Now);
  void answerLocally(session &Session, base::time_point Now);

  // Choice of instance and connection; defined in session_routing.cpp.
  void advanceOperation(session &Session, base::time_point Now);
  void takeToken(session &Session, base::time_point Now);
  [[nodiscard]] std::int64_t
  countAwaitingToken(const base::account_id &Account) const;
  /// Sends the operation to an instance, or lets it wait for one.
  void chooseInstance(session &Session, base::time_point Now);
  void choosePrimary(session &Session, base::time_point Now);
  /// Returns false if the read has to run on the primary.
  bool chooseReplica(session &Session, base::time_point Now);
  /// Assigns a connection to the session. Returns false if there is none.
  bool attach(session &Session, const base::instance_id &Instance,
              base::time_point Now);
  /// Estimates the cost of a read on an instance, in microseconds of latency.
  [[nodiscard]] std::int64_t readCost(const instance_view &View,
                                      const session &Session,
                                      std::optional<groups::log_position> After,
                                      base::time_point Now) const;
  /// Returns the log position that a replica must have reached to serve the
  /// session's read; empty if this host knows none that is recent enough.
  [[nodiscard]] std::optional<groups::log_position>
  neededPosition(const session &Session, const supervisor &Group) const;
  [[nodiscard]] bool needsPrimary(const session &Session) const;
  /// Whether the instance is in a region where the session's statements may
  /// run.
  [[nodiscard]] bool isAtHome(const instance_view &View,
                              const session &Session) const;
  /// Whether nothing may be sent to the instance, since its failure domain is
  /// evacuated.
  [[nodiscard]] bool isClosed(const base::instance_id &Instance) const;
  /// Returns why no instance can run the statement now or soon; empty if one
  /// may.
  [[nodiscard]] std::string_view hopelessReason(const session &Session,
                                                const supervisor &Group);
  /// Sets the session's values and prepared statement on the connection.
  void prepareConnection(session &Session, connection &Connection,
                         base::time_point Now);
  void sendStatement(session &Session, connection &Connection,
                     base::time_point Now);
  void serveWaiting(base::time_point Now);
  [[nodiscard]] bool hasConnectionAtPrimary(const session &Session) const;

  // Evacuations and cold instances; defined in session_restrictions.cpp.
  void recordEvacuations(const catalog_reading &Reading,
                         base::time_point ConfirmedAt, base::time_point Now);
  void applyEvacuations(base::time_point Now);
  /// Ends what still uses the instances of \p Domain.
  void closeDomain(const base::failure_domain_id &Domain, base::time_point Now);
  /// Spreads the return of this fleet's reads to the instances of \p Domain.
  void returnTo(const base::failure_domain_id &Domain, base::time_point Now);
  /// Whether the statements to the instance are limited because it is cold.
  [[nodiscard]] bool isLimited(const instance_view &View,
                               base::time_point Now) const;
  void updateColdLimits(base::time_point Now);
  /// Records that connections to the instance have ended, perhaps because it
  /// has restarted and is cold.
  void suspectRestart(instance_view &View, base::time_point Now) const;
  /// Whether a read may be sent to the instance: it is not limited, or a token
  /// is at hand. If there is none, one is requested for a later read.
  bool hasPermit(const session &Session, const instance_view &View,
                 base::time_point Now);
  /// Takes a permit for the chosen instance if it is limited.
  void takePermit(session &Session, const instance_view &View,
                  base::time_point Now);
  /// Whether the statement may be sent now as far as its instance is limited;
  /// otherwise it waits for a permit.
  bool ensurePermit(session &Session, const connection &Connection,
                    base::time_point Now);
  /// Continues a statement that waits for a permit.
  void permitDue(session &Session, base::time_point Now);
  void setWake(session &Session, base::time_point At);
  /// Called when operation::WakeAt is reached.
  void operationDue(session &Session, base::time_point Now);

  // Answers and failures of instances; defined in session_replies.cpp and
  // session_failures.cpp.
  /// Returns why \p Reply may not be the answer to the oldest request of the
  /// connection; empty if nothing speaks against it.
  [[nodiscard]] static std::optional<answer_doubt>
  checkAnswer(connection &Connection, const backend_reply &Reply);
  /// Closes a connection with an answer in doubt, and ends the attempt that
  /// uses it. The instance is not taken for failed.
  void closeInDoubt(const connection &Connection, base::time_point Now);
  /// Closes a connection on which bytes have arrived before the next request.
  /// Returns whether it has. Called before a request that follows another one.
  bool closeEarly(const connection &Connection, base::time_point Now);
  void rollBackReplied(connection &Connection, const backend_reply &Reply,
                       base::time_point Now);
  void controlReplied(connection &Connection,
                      const detail::sent_request &Request,
                      const backend_reply &Reply, base::time_point Now);
  void sessionReplied(session &Session, connection &Connection,
                      const backend_reply &Reply, base::time_point SentAt,
                      base::time_point Now);
  void recordReply(const connection &Connection, const session &Session,
                   const backend_reply &Reply, base::time_point SentAt,
                   base::time_point Now);
  /// Whether the operation may be sent again after an attempt failed with
  /// \p Reason.
  [[nodiscard]] bool canRetry(const session &Session, refusal Reason,
                              base::time_point Now) const;
  /// Starts another attempt, on another instance if the operation does not need
  /// the primary.
  void retry(session &Session, connection *Connection, refusal Reason,
             session_phase BackendPhase, base::time_point Now);
  void recordRefusal(const base::instance_id &Instance, refusal Reason,
                     base::time_point Now);
  void connectionLost(session &Session, const base::instance_id &Instance,
                      std::optional<refusal> Reason, base::time_point Now);
  /// Handles the loss of the connection that the session uses, if any.
  void attemptLost(session &Session, refusal Reason, const std::string &Text,
                   base::time_point Now);
  /// Whether the running statement may commit writes.
  [[nodiscard]] bool mayCommit(const session &Session) const;
  /// Whether the connection runs a statement that may commit writes.
  [[nodiscard]] bool mayCommit(const connection &Connection) const;
  void statementTimedOut(session &Session, base::time_point Now);
  void detach(session &Session);
  void beginOrSend(session &Session, connection &Connection,
                   base::time_point Now);
  void beginReplied(session &Session, connection &Connection,
                    const backend_reply &Reply, base::time_point Now);
  void statementSucceeded(session &Session, connection &Connection,
                          const backend_reply &Reply, base::time_point Now);
  /// Keeps the answer to an acknowledged commit until its primary is proved.
  void awaitProof(session &Session, connection &Connection,
                  const backend_reply &Reply, base::time_point Now);
  /// Answers the commit that awaits a proof, if it is decided.
  void completeCommit(session &Session, base::time_point Now);
  void commitSucceeded(session &Session, const backend_reply &Reply,
                       base::time_point Now);
  void statementFailed(session &Session, connection &Connection,
                       const backend_reply &Reply, base::time_point Now);
  void abandonWait(session &Session, const std::string &Reason,
                   base::time_point Now);
  /// Returns until when the operation may wait for the primary.
  [[nodiscard]] base::time_point waitDeadline(const session &Session,
                                              const supervisor &Group,
                                              base::time_point Now) const;
  /// Releases the connection, after a rollback if \p BackendPhase shows an open
  /// transaction.
  void returnToPool(connection &Connection, session_phase BackendPhase,
                    base::time_point Now);
  void closeOverdueConnections(base::time_point Now);
  void runPipelinedStatements(base::time_point Now);

  void drainSessions(base::time_point Now);
  void endIdleTransactions(base::time_point Now);
  /// Rolls back the open transaction of a session that waits for its client,
  /// who is told with the next statement.
  void endTransactionEarly(session &Session, refusal Refusal,
                           const std::string &Reason, base::time_point Now);
  void logOutcome(const session &Session, const client_answer &Answer,
                  base::time_point Now);
  /// Returns null if the configuration has no such group.
  supervisor *groupOf(const base::group_id &Group);
  void updateGroups(base::time_point Now);
  void watchStore(base::time_point Now);
  /// Adopts the first configuration when that is safe; see starting_catalog.
  void adoptFirstCatalog(base::time_point Now);
  /// Records the history of the store that \p Version belongs to. Returns true
  /// and logs \p Fields if it has changed.
  bool recordHistory(base::row_version Version, base::json Fields,
                     base::time_point Now);
  /// Logs a change of the store's history, and the first read of \p Source
  /// after failed ones.
  void recordRead(detail::watched_source Source, const read_span &Span,
                  bool IsChanged, base::time_point Now);
  void claimsRead(const detail::claim_reading &Reading, base::time_point Now);
  connection *connectionOf(const session &Session);
  void remove(session_number Number, base::time_point Now);

  engine_options Options;
  engine_counters Counters;
  client_port &Clients;
  coordination_port &Coordination;
  event_log &Log;
  detail::answer_doubts Doubts;
  detail::store_calls Store;
  detail::backend_pool Pool;
  detail::fleet_members Members;
  detail::claim_watch Claims;
  detail::domain_contact Contact;
  detail::fleet_limits Limits;
  detail::store_watch Watch;
  detail::store_history History;
  detail::starting_catalog Starting;
  detail::evacuations Evacuations;
  listing_cache Listings;
  /// Version of the set of hosts for which the groups were last updated.
  std::uint64_t HostsVersion = 0;
  catalog_ptr Catalog;
  /// When this host first knew a configuration.
  std::optional<base::time_point> StartedAt;
  std::map<base::instance_id, instance_view> Instances;
  std::map<base::group_id, std::unique_ptr<supervisor>> Groups;
  std::map<session_number, session> Sessions;
  /// Connections of sessions that run a statement outside a transaction.
  std::map<session_number, backend_number> Attached;
  /// Sessions by operation::WakeAt.
  std::set<std::pair<base::time_point, session_number>> Wakes;
  /// Sessions whose operation waits for a primary or a connection, ordered by
  /// priority and time of receipt.
  std::set<std::tuple<int, base::time_point, session_number>> Waiting;
  /// Set when a waiting operation may be able to continue.
  bool ShouldServeWaiting = false;
  /// Sessions whose statement was answered and that may have pipelined ones.
  std::vector<session_number> AnsweredSessions;
  base::time_point NextTrimAt;
  /// When the next instance is no longer cold.
  base::time_point NextColdEnd = base::time_point::max();
  bool IsDraining = false;
  base::time_point DrainingSince;
};

} // namespace radishrelay::sessions

#endif
