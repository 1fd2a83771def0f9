#ifndef RADISHRELAY_FLEET_MEMBER_UPDATE_H
#define RADISHRELAY_FLEET_MEMBER_UPDATE_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/fleet/member_state.h"

#include <compare>
#include <cstdint>
#include <string>

namespace radishrelay::fleet {

/// State of one host as disseminated in heartbeats. A higher incarnation
/// overrides a lower one, and within an incarnation a later member_state
/// overrides an earlier one. Only the host itself raises its incarnation: on a
/// restart, or to refute a wrong update on itself.
struct member_update {
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  /// "IP:port" of the host's peer listener.
  std::string Address;
  std::uint64_t Incarnation = 0;
  member_state State = member_state::Live;

  friend auto operator<=>(const member_update &,
                          const member_update &) = default;
};

/// True if \p Newer overrides \p Known; both must be updates on the same host.
bool overrides(const member_update &Newer, const member_update &Known);

} // namespace radishrelay::fleet

#endif
