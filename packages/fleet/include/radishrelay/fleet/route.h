#ifndef RADISHRELAY_FLEET_ROUTE_H
#define RADISHRELAY_FLEET_ROUTE_H

#include "radishrelay/base/identifier.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::fleet {

/// Whether the statement of a route only reads data or may change it.
enum class route_kind { Read, Write };

/// A named SQL statement that clients may run.
struct route {
  std::string Name;
  base::group_id Group;
  /// One SQL statement with parameters $1, $2, and so on.
  std::string Statement;
  route_kind Kind = route_kind::Read;
  /// True if running the statement twice has the same effect as running it
  /// once.
  bool Idempotent = false;
  /// Maximum staleness that a read accepts; empty if it accepts no stale data.
  std::optional<std::chrono::milliseconds> MaxAge;
  /// True if requests need no client key.
  bool Open = false;
  /// Names under which a request passes $1, $2, and so on.
  std::vector<std::string> Parameters;

  friend auto operator<=>(const route &, const route &) = default;
};

} // namespace radishrelay::fleet

#endif
