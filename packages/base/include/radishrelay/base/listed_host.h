#ifndef RADISHRELAY_BASE_LISTED_HOST_H
#define RADISHRELAY_BASE_LISTED_HOST_H

#include <compare>
#include <string>

namespace radishrelay::base {

/// State of a host as listed by the platform.
enum class listed_host_state { Live, Leaving };

/// An entry of the platform's list of hosts. The list lags behind the actual
/// state of the fleet.
struct listed_host {
  /// Host id of a daemon, or address of a backend server.
  std::string Name;
  listed_host_state State = listed_host_state::Live;

  friend auto operator<=>(const listed_host &, const listed_host &) = default;
};

} // namespace radishrelay::base

#endif
