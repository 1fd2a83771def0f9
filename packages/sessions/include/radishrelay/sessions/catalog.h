#ifndef RADISHRELAY_SESSIONS_CATALOG_H
#define RADISHRELAY_SESSIONS_CATALOG_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace radishrelay::sessions {

/// Commits that the reads of a route must see at least.
enum class read_consistency {
  /// All acknowledged commits; reads run on the primary.
  Primary,
  /// All commits that were acknowledged at least session_route::MaxStaleness
  /// before the read.
  BoundedStaleness,
  /// The commits of BoundedStaleness and all commits of the same session.
  ReadYourWrites,
};

/// Routing rules for the sessions of one database name.
struct session_route {
  std::string Name;
  base::group_id Group;
  read_consistency Consistency = read_consistency::Primary;
  base::duration MaxStaleness{};
  /// Maximum time from the receipt of a statement to its answer.
  base::duration StatementTimeout{};
  /// Latency that callers aim at for a whole operation (one statement or one
  /// transaction), including all waits in the proxy.
  base::duration TargetLatency{};
  /// Order in which waiting statements are served; 0 is the highest priority.
  int Priority = 0;
  /// Whether sessions without a known client key are accepted.
  bool AllowsAnonymous = false;
  /// Regions on whose instances alone the statements may run; empty if all may.
  std::set<base::region_id> HomeRegions;

  friend bool operator==(const session_route &,
                         const session_route &) = default;
};

/// Settings of one database group.
struct group_settings {
  /// Maximum number of connections that one instance accepts from all its
  /// clients together.
  std::int64_t ConnectionLimit = 0;
  /// Number of replicas that must have received a commit before it is
  /// acknowledged.
  int SyncReplicas = 0;
  /// Statements per second, of all hosts together, that an instance may get
  /// while it reports itself cold; 0 if there is no such limit.
  double ColdRatePerSecond = 0;

  friend bool operator==(const group_settings &,
                         const group_settings &) = default;
};

/// One version of the operators' configuration: routes, database groups,
/// client accounts and their keys. Immutable once shared.
struct catalog {
  std::uint64_t Version = 0;
  /// Routes by database name.
  std::map<std::string, session_route, std::less<>> Routes;
  std::map<base::group_id, group_settings> Groups;
  std::map<base::account_id, accounts::account_limits> Limits;
  /// Home regions of the accounts that have some; see
  /// session_route::HomeRegions.
  std::map<base::account_id, std::set<base::region_id>> AccountHomes;
  /// Client accounts by client key.
  std::map<std::string, base::account_id, std::less<>> Keys;
  /// Keys of accounts that instances cannot be told, since the name cannot
  /// stand in a message. They open no session, not even an anonymous one.
  std::set<std::string, std::less<>> InadmissibleKeys;
  /// A transaction that has received no statement for this time is rolled
  /// back. Zero disables the timeout.
  base::duration TransactionIdleTimeout{};

  friend bool operator==(const catalog &, const catalog &) = default;
};

using catalog_ptr = std::shared_ptr<const catalog>;

} // namespace radishrelay::sessions

#endif
