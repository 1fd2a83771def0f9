#ifndef RADISHRELAY_SESSIONS_DETAIL_BACKEND_POOL_H
#define RADISHRELAY_SESSIONS_DETAIL_BACKEND_POOL_H

#include "radishrelay/base/json.h"
#include "radishrelay/sessions/backend_port.h"
#include "radishrelay/sessions/detail/answer_doubts.h"
#include "radishrelay/sessions/detail/backend_connection.h"
#include "radishrelay/sessions/engine_options.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace radishrelay::sessions::detail {

/// Number of requests sent, indexed by backend_verb.
using request_counts = std::array<std::uint64_t, BackendVerbCount>;

/// Whether a session can get a connection to an instance now.
enum class connection_availability {
  /// An idle connection of the account exists.
  Idle,
  /// A connection can be opened, possibly in place of an idle one of another
  /// account.
  CanOpen,
  /// All connections that this host may open are in use.
  Full,
};

/// What a session needs of a connection.
struct connection_need {
  base::account_id Account;
  session_number Session{};
  /// Session values, which are set already on the best connection.
  const std::map<std::string, std::string> &Values;
  /// Tells which idle connections to avoid, since an answer on them may be in
  /// doubt; null for none.
  bool (answer_check::*IsAvoided)() const = nullptr;
  /// Whether to open a connection rather than to use one to avoid.
  bool OpensRather = false;
};

/// Pool of this host's connections to all instances.
///
/// Each host may open an equal share of an instance's connection limit, so that
/// the limit holds without coordination between hosts. A host may open one
/// connection above its share, except for some time after the instance has
/// rejected a connection.
class backend_pool {
public:
  backend_pool(const engine_options &Options, backend_port &Port,
               answer_doubts &Doubts);

  /// Replaces the known instances. Closes idle connections to instances that
  /// have moved or restarted.
  void setInstances(const std::map<base::instance_id, instance_listing> &List,
                    base::time_point Now);
  /// Sets this host's share of the connections to each instance of \p Group:
  /// \p Limit connections are divided between \p Hosts hosts.
  void setLimit(const base::group_id &Group, std::int64_t Limit,
                std::size_t Hosts);

  /// Sets the failure domains whose instances get no statement. Connections to
  /// them are closed as soon as they are idle; control calls still open some.
  void setClosedDomains(std::set<base::failure_domain_id> Domains);

  [[nodiscard]] connection_availability
  availability(const base::instance_id &Instance,
               const base::account_id &Account) const;
  /// Whether a session can get a connection without closing one of another
  /// account: an idle connection of its own account, or a new one within this
  /// host's share.
  [[nodiscard]] bool hasConnectionFor(const base::instance_id &Instance,
                                      const base::account_id &Account) const;
  /// Number of connections that are assigned to sessions.
  [[nodiscard]] std::size_t busyCount(const base::instance_id &Instance) const;

  /// Assigns a connection to \p Session, preferably an idle one with the same
  /// session values. The connection may still be opening. Returns null if none
  /// is idle and none may be opened. Closes idle connections with early input.
  backend_connection *acquire(const base::instance_id &Instance,
                              const connection_need &Need,
                              base::time_point Now);
  /// Makes an open connection idle, or closes it if it is not reusable.
  void release(backend_connection &Connection, base::time_point Now);
  /// Closes the connection and removes it from the pool.
  void discard(backend_number Number);
  /// Rolls back the open transaction of the connection; once the instance has
  /// answered, the connection becomes idle. Closes the connection instead if it
  /// has early input or is not reusable.
  void rollBackAndRelease(backend_connection &Connection, base::time_point Now);

  /// Sends a control call on an idle connection to \p Instance. If none is
  /// idle, opens one for \p Account, except for a status call at the connection
  /// limit, which is dropped. Returns whether the call will be sent.
  bool call(const base::instance_id &Instance, const base::account_id &Account,
            const backend_request &Request, base::time_point Now);
  /// Whether \p Instance owes the answer to a request or to the opening of a
  /// connection.
  [[nodiscard]] bool isAnswerAwaited(const base::instance_id &Instance) const;
  /// Sends a control call on a connection that it opens, unless that would
  /// exceed the connection limit.
  void callAnew(const base::instance_id &Instance,
                const base::account_id &Account, const backend_request &Request,
                base::time_point Now);

  void send(backend_connection &Connection, const backend_request &Request,
            base::time_point Now);
  /// Whether bytes have arrived although no request is outstanding. They cannot
  /// be the answer to a request that is sent now.
  [[nodiscard]] bool hasEarlyInput(const backend_connection &Connection) const;
  /// Returns null if the connection has been closed.
  backend_connection *find(backend_number Number);
  /// Records that \p Instance rejected a connection because its connection
  /// limit is reached.
  void recordLimitReached(const base::instance_id &Instance,
                          base::time_point Now);

  /// Connections whose deadline to open, to answer a control call or to roll
  /// back has passed.
  [[nodiscard]] std::vector<backend_number> overdue(base::time_point Now) const;
  [[nodiscard]] base::time_point nextDeadline() const;
  /// Closes connections that have been idle too long and exceed this host's
  /// share.
  void trim(base::time_point Now);
  [[nodiscard]] std::size_t size() const { return Connections.size(); }
  /// Requests sent, by backend_verb.
  [[nodiscard]] const request_counts &requests() const { return Requests; }
  /// Number of connections opened since the start.
  [[nodiscard]] std::uint64_t opened() const { return LastNumber; }
  [[nodiscard]] base::json dump() const;

private:
  struct instance_state {
    instance_listing Listing;
    std::set<backend_number> Connections;
    /// Until then, this host opens no connection above its share.
    base::time_point LimitedUntil;
  };

  /// This host's share of the connection limit of a group's instances.
  struct limit_share {
    std::size_t Share = 0;
    /// Whether idle connections are kept. False when the limit is too small
    /// for each host to keep MinShare connections.
    bool KeepsIdle = true;
  };

  backend_connection &open(instance_state &State,
                           const base::account_id &Account,
                           base::time_point Now);
  /// Returns an idle connection, or null. Connections to avoid come last, those
  /// with the session's values first.
  backend_connection *findIdle(const instance_state &State,
                               const connection_need &Need);
  /// Whether connections to the instance are closed instead of being kept.
  [[nodiscard]] bool isClosed(const base::instance_id &Instance) const;
  /// Closes all idle connections to the instance.
  void discardIdle(const instance_state &State);
  /// Closes the connection if it has early input. Returns whether it has.
  bool discardEarly(const backend_connection &Connection);
  /// Closes an idle connection if a new one would exceed the limit. Returns
  /// whether a connection may be opened.
  bool ensureCapacity(instance_state &State, base::time_point Now);
  /// Closes connections past their idle lifetime, to an instance whose idle
  /// connections are not kept.
  void closeExpiredIdle(const instance_state &State, base::time_point Now);
  [[nodiscard]] backend_connection *oldestIdle(const instance_state &State);
  /// This host's share of the connection limit.
  [[nodiscard]] std::size_t softLimit(const base::group_id &Group) const;
  /// The share plus the connections that may exceed it for a time.
  [[nodiscard]] std::size_t hardLimit(const instance_state &State) const;

  engine_options Options;
  backend_port &Port;
  answer_doubts &Doubts;
  std::map<base::instance_id, instance_state> Instances;
  std::map<base::group_id, limit_share> Limits;
  std::set<base::failure_domain_id> ClosedDomains;
  std::map<backend_number, backend_connection> Connections;
  std::uint64_t LastNumber = 0;
  request_counts Requests{};
  /// Latest time point passed to this pool, for comparison with
  /// instance_state::LimitedUntil.
  base::time_point LatestTime;
};

} // namespace radishrelay::sessions::detail

#endif
