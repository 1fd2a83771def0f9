#ifndef RADISHRELAY_GROUPS_CONNECTION_POOL_H
#define RADISHRELAY_GROUPS_CONNECTION_POOL_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/connection_pool_options.h"
#include "radishrelay/groups/connection_release_state.h"
#include "radishrelay/groups/pool_action.h"

#include <cstdint>
#include <map>
#include <optional>

namespace radishrelay::groups {

/// Pool of this host's backend connections to one instance, bounded by the
/// host's connection quota.
///
/// The pool performs no I/O. Its methods return the actions that the caller
/// has to execute, and the caller reports their results through opened(),
/// closed() and resetEnded().
///
/// One connection, the control connection, is reserved for probes so that they
/// never wait behind requests. The others are work connections. With a quota of
/// one, probes and requests share the only connection.
class connection_pool {
public:
  explicit connection_pool(connection_pool_options Options);

  /// Returns an idle work connection and marks it as busy; prefers the one that
  /// was used last. Empty when there is none or when the instance is leaving.
  std::optional<connection_number> acquire();

  /// Returns the connection for probes if it is idle.
  [[nodiscard]] std::optional<connection_number> control() const;

  /// Sets the number of requests that wait for a connection, and opens
  /// connections for them within the quota and the opening rate.
  pool_actions setDemand(std::size_t Waiting, base::time_point Now);

  /// Releases a connection that a request has used. \p End tells whether it can
  /// be reused, has to be reset or has to be closed.
  pool_actions release(connection_number Connection,
                       connection_release_state End, base::time_point Now);

  /// Closes the control connection after a failed probe, so that the next probe
  /// uses a new connection.
  pool_actions replaceControl(base::time_point Now);

  /// Reports that a connection was opened.
  pool_actions opened(connection_number Connection, base::time_point Now);
  /// Reports that a connection was closed or lost, or could not be opened.
  pool_actions closed(connection_number Connection, base::time_point Now);
  /// Reports the end of a reset. A connection that is not \p IsClean is closed.
  pool_actions resetEnded(connection_number Connection, bool IsClean,
                          base::time_point Now);

  /// Sets whether the instance is leaving its group. A leaving instance gets no
  /// new requests, but is still probed.
  pool_actions setLeaving(bool Leaving, base::time_point Now);

  pool_actions setQuota(std::uint32_t Quota, base::time_point Now);

  /// Opens a connection that is needed if the opening rate allows it, and
  /// closes connections that are above the quota or have been idle for
  /// IdleLifetime.
  pool_actions tick(base::time_point Now);

  /// Returns when tick() is due next; empty when nothing is scheduled.
  [[nodiscard]] std::optional<base::time_point> nextDeadline() const;

  /// Returns the number of connections that count against the quota, including
  /// those that are being opened or closed.
  [[nodiscard]] std::size_t size() const { return Connections.size(); }
  [[nodiscard]] base::json dump() const;

private:
  enum class state { Opening, Idle, Busy, Resetting, Closing };

  struct pooled_connection {
    state State = state::Opening;
    bool IsControl = false;
    base::time_point ChangedAt;
  };

  [[nodiscard]] bool servesProbes(const pooled_connection &Item) const;
  [[nodiscard]] std::size_t count(state State) const;
  [[nodiscard]] bool hasControlConnection() const;
  [[nodiscard]] bool needsControlConnection() const;
  [[nodiscard]] bool needsWorkConnection() const;
  void openMissing(base::time_point Now, pool_actions &Actions);
  void open(bool IsControl, base::time_point Now, pool_actions &Actions);
  void close(connection_number Connection, base::time_point Now,
             pool_actions &Actions);
  void closeIdle(base::time_point Now, pool_actions &Actions);
  void delayOpening(base::time_point Now);

  connection_pool_options Options;
  base::random_generator Random;
  std::map<connection_number, pooled_connection> Connections;
  connection_number NextNumber;
  std::size_t Demand = 0;
  bool IsLeaving = false;
  base::time_point NextOpenAt;
  /// Failed attempts to open a connection since the last success.
  std::uint32_t FailureCount = 0;
};

} // namespace radishrelay::groups

#endif
