#ifndef RADISHRELAY_FLEET_ROUTE_H
#define RADISHRELAY_FLEET_ROUTE_H

#include "radishrelay/base/identifier.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::fleet {

/// Whether a route changes data.
enum class route_kind { Read, Write };

/// A named statement that callers may run.
struct route {
  std::string Name;
  base::group_id Group;
  /// One SQL statement with parameters $1, $2, and so on.
  std::string Statement;
  route_kind Kind = route_kind::Read;
  /// True when running the statement twice is harmless.
  bool Idempotent = false;
  /// Age of the data that a read accepts; empty when it accepts none.
  std::optional<std::chrono::milliseconds> MaxAge;
  /// True when no key is needed.
  bool Open = false;
  /// Names of $1, $2, and so on in a request.
  std::vector<std::string> Parameters;

  friend auto operator<=>(const route &, const route &) = default;
};

} // namespace radishrelay::fleet

#endif
