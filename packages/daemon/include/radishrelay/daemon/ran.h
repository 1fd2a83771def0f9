#ifndef RADISHRELAY_DAEMON_RAN_H
#define RADISHRELAY_DAEMON_RAN_H

#include <string_view>

namespace radishrelay::daemon {

/// Whether a refused request took effect on a backend server.
enum class ran { No, Yes, Unknown };

/// Returns "no", "yes" or "unknown".
constexpr std::string_view toString(ran Ran) {
  switch (Ran) {
  case ran::No:
    return "no";
  case ran::Yes:
    return "yes";
  case ran::Unknown:
    break;
  }
  return "unknown";
}

} // namespace radishrelay::daemon

#endif
