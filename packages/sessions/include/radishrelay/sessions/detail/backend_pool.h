#ifndef RADISHRELAY_SESSIONS_DETAIL_BACKEND_POOL_H
#define RADISHRELAY_SESSIONS_DETAIL_BACKEND_POOL_H

#include "radishrelay/base/json.h"
#include "radishrelay/sessions/backend_port.h"
#include "radishrelay/sessions/detail/backend_connection.h"
#include "radishrelay/sessions/engine_options.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace radishrelay::sessions::detail {

/// Number of requests of each backend_verb.
using request_counts = std::array<std::uint64_t, BackendVerbs>;

/// How well an instance can take a session now.
enum class pool_room {
  /// An idle connection of the account.
  Idle,
  /// A connection can be opened.
  Open,
  /// All connections are in use.
  Full,
};

/// This host's connections to all instances.
///
/// Each host may hold an equal part of an instance's connections, so that the
/// limit holds without coordination, and one more while the instance has room.
class backend_pool {
public:
  backend_pool(const engine_options &Options, backend_port &Port);

  void setInstances(const std::map<base::instance_id, instance_listing> &List,
                    base::time_point Now);
  /// \p Limit connections of each instance of \p Group are shared by \p Hosts.
  void setLimit(const base::group_id &Group, std::int64_t Limit,
                std::size_t Hosts);

  [[nodiscard]] pool_room room(const base::instance_id &Instance,
                               const base::account_id &Account) const;
  /// Whether a session gets a connection without taking one from another
  /// account: an idle one of its own, or a new one within this host's part.
  [[nodiscard]] bool hasRoomFor(const base::instance_id &Instance,
                                const base::account_id &Account) const;
  /// Connections that serve sessions.
  [[nodiscard]] std::size_t busy(const base::instance_id &Instance) const;

  /// Gives \p Session a connection, open or being opened; null when full.
  backend_connection *acquire(const base::instance_id &Instance,
                              const base::account_id &Account,
                              session_number Session,
                              const std::map<std::string, std::string> &Values,
                              base::time_point Now);
  /// Makes an open connection idle.
  void release(backend_connection &Connection, base::time_point Now);
  void discard(backend_number Number);
  /// Rolls back what the connection has open, then makes it idle.
  void clean(backend_connection &Connection, base::time_point Now);

  /// Sends a call of the proxy itself on any connection to \p Instance, opening
  /// one for \p Account if none is idle.
  void call(const base::instance_id &Instance, const base::account_id &Account,
            const backend_request &Request, base::time_point Now);

  void send(backend_connection &Connection, const backend_request &Request,
            base::time_point Now);
  backend_connection *find(backend_number Number);
  /// The instance has rejected a connection for its limit.
  void noteLimitReached(const base::instance_id &Instance,
                        base::time_point Now);

  /// Connections whose opening, call or cleaning has taken too long.
  [[nodiscard]] std::vector<backend_number> overdue(base::time_point Now) const;
  [[nodiscard]] base::time_point nextDeadline() const;
  /// Closes idle connections above this host's part.
  void trim(base::time_point Now);
  [[nodiscard]] std::size_t size() const { return Connections.size(); }
  /// Requests sent, by backend_verb.
  [[nodiscard]] const request_counts &requests() const { return Requests; }
  [[nodiscard]] std::uint64_t opened() const { return LastNumber; }
  [[nodiscard]] base::json dump() const;

private:
  struct instance_state {
    instance_listing Listing;
    std::set<backend_number> Connections;
    base::time_point LimitedUntil;
  };

  struct part_of_limit {
    std::size_t Part = 0;
    /// Whether idle connections may be kept.
    bool AreKept = true;
  };

  backend_connection &open(instance_state &State,
                           const base::account_id &Account,
                           base::time_point Now);
  backend_connection *idleFor(const instance_state &State,
                              const base::account_id &Account,
                              const std::map<std::string, std::string> *Values);
  /// Closes an idle connection if a new one would exceed the limit; false when
  /// none may be opened.
  bool makeRoom(instance_state &State, base::time_point Now);
  /// Closes idle connections to an instance of which none may be kept.
  void trimUnkept(const instance_state &State, base::time_point Now);
  [[nodiscard]] backend_connection *oldestIdle(const instance_state &State);
  [[nodiscard]] std::size_t softLimit(const base::group_id &Group) const;
  [[nodiscard]] std::size_t hardLimit(const instance_state &State) const;

  engine_options Options;
  backend_port &Port;
  std::map<base::instance_id, instance_state> Instances;
  std::map<base::group_id, part_of_limit> Limits;
  std::map<backend_number, backend_connection> Connections;
  std::uint64_t LastNumber = 0;
  request_counts Requests{};
  /// Latest time point seen, for limits that end by themselves.
  base::time_point Latest;
};

} // namespace radishrelay::sessions::detail

#endif
