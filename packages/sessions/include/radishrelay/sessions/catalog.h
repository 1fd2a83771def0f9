#ifndef RADISHRELAY_SESSIONS_CATALOG_H
#define RADISHRELAY_SESSIONS_CATALOG_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace radishrelay::sessions {

/// Which data the reads of a route accept.
enum class read_consistency {
  /// Every acknowledged commit.
  Primary,
  /// Every commit acknowledged longer ago than MaxStaleness.
  BoundedStaleness,
  /// As BoundedStaleness, and every commit of the same session.
  ReadYourWrites,
};

/// How sessions that name one database are served.
struct session_route {
  std::string Name;
  base::group_id Group;
  read_consistency Consistency = read_consistency::Primary;
  base::duration MaxStaleness{};
  /// Longest time that one statement may take.
  base::duration StatementTimeout{};
  /// Latency that callers hope for, for the whole operation.
  base::duration TargetLatency{};
  /// 0 is the highest.
  int Priority = 0;
  bool Open = false;

  friend bool operator==(const session_route &,
                         const session_route &) = default;
};

/// Settings of one database group.
struct group_settings {
  /// Connections that an instance takes from all callers together.
  std::int64_t ConnectionLimit = 0;
  /// Replicas that must have received a commit before it is acknowledged.
  int SyncReplicas = 0;

  friend bool operator==(const group_settings &,
                         const group_settings &) = default;
};

/// Everything that operators declare, of one version. Immutable once shared.
struct catalog {
  std::uint64_t Version = 0;
  /// By database name.
  std::map<std::string, session_route, std::less<>> Routes;
  std::map<base::group_id, group_settings> Groups;
  std::map<base::account_id, accounts::account_limits> Limits;
  /// Account of each key.
  std::map<std::string, base::account_id, std::less<>> Keys;
  /// A transaction without statements for longer may be ended.
  base::duration TransactionIdle{};

  friend bool operator==(const catalog &, const catalog &) = default;
};

using catalog_ptr = std::shared_ptr<const catalog>;

} // namespace radishrelay::sessions

#endif
