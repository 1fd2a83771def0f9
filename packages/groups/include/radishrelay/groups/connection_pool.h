#ifndef RADISHRELAY_GROUPS_CONNECTION_POOL_H
#define RADISHRELAY_GROUPS_CONNECTION_POOL_H

#include "radishrelay/base/json.h"
#include "radishrelay/base/random_generator.h"
#include "radishrelay/groups/connection_pool_options.h"
#include "radishrelay/groups/connection_use_end.h"
#include "radishrelay/groups/pool_action.h"

#include <cstdint>
#include <map>
#include <optional>

namespace radishrelay::groups {

/// Connections of this host to one instance, within the host's quota.
///
/// One of them is the control connection, for probes, so that probes never
/// wait behind requests. With a quota of one, probes share the only one.
class connection_pool {
public:
  explicit connection_pool(connection_pool_options Options);

  /// Takes a ready work connection, the one used last; empty when there is
  /// none.
  std::optional<connection_number> take();

  /// Returns the control connection if it is ready.
  [[nodiscard]] std::optional<connection_number> control() const;

  /// Opens connections for \p Waiting requests that found none, within quota
  /// and rate.
  pool_actions setDemand(std::size_t Waiting, base::time_point Now);

  /// Ends the use of a connection by a request.
  pool_actions giveBack(connection_number Connection, connection_use_end End,
                        base::time_point Now);

  /// Replaces the control connection after a failed probe, so that the next
  /// one uses a fresh connection.
  pool_actions replaceControl(base::time_point Now);

  pool_actions opened(connection_number Connection, base::time_point Now);
  pool_actions closed(connection_number Connection, base::time_point Now);
  pool_actions resetEnded(connection_number Connection, bool IsClean,
                          base::time_point Now);

  /// Stops or resumes work on an instance that leaves; probes go on.
  pool_actions setLeaving(bool Leaving, base::time_point Now);

  pool_actions setQuota(std::uint32_t Quota, base::time_point Now);

  /// Opens what the rate allows and closes what has been idle for long.
  pool_actions tick(base::time_point Now);

  /// When tick() is due next, if at all.
  [[nodiscard]] std::optional<base::time_point> nextDeadline() const;

  /// Connections that count against the quota, also those that are closing.
  [[nodiscard]] std::size_t size() const { return Connections.size(); }
  [[nodiscard]] base::json dump() const;

private:
  enum class state { Opening, Idle, Busy, Resetting, Closing };

  struct pooled {
    state State = state::Opening;
    bool IsControl = false;
    base::time_point ChangedAt;
  };

  [[nodiscard]] bool isForProbes(const pooled &Item) const;
  [[nodiscard]] std::size_t count(state State) const;
  [[nodiscard]] bool hasControl() const;
  [[nodiscard]] bool wantsControl() const;
  [[nodiscard]] bool wantsWork() const;
  void openWanted(base::time_point Now, pool_actions &Actions);
  void open(bool IsControl, base::time_point Now, pool_actions &Actions);
  void close(connection_number Connection, base::time_point Now,
             pool_actions &Actions);
  void closeIdle(base::time_point Now, pool_actions &Actions);
  void delayOpening(base::time_point Now);

  connection_pool_options Options;
  base::random_generator Random;
  std::map<connection_number, pooled> Connections;
  connection_number NextNumber;
  std::size_t Demand = 0;
  bool IsLeaving = false;
  base::time_point NextOpenAt;
  /// Failures to open since the last success.
  std::uint32_t FailureCount = 0;
};

} // namespace radishrelay::groups

#endif
