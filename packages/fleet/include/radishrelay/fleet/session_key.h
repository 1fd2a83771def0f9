#ifndef RADISHRELAY_FLEET_SESSION_KEY_H
#define RADISHRELAY_FLEET_SESSION_KEY_H

#include <compare>
#include <string>

namespace radishrelay::fleet {

/// A key with which session tokens are signed and verified.
struct session_key {
  std::string Id;
  std::string Secret;

  friend auto operator<=>(const session_key &, const session_key &) = default;
};

} // namespace radishrelay::fleet

#endif
