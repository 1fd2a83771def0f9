#ifndef RADISHRELAY_ACCOUNTS_HOST_IDENTITY_H
#define RADISHRELAY_ACCOUNTS_HOST_IDENTITY_H

#include "radishrelay/base/identifier.h"

#include <compare>
#include <cstdint>

namespace radishrelay::accounts {

/// Identifies one start of the daemon on a host.
struct host_identity {
  base::host_id Host;
  base::failure_domain_id FailureDomain;
  /// Differs between all starts of a host; for example 53 random bits.
  std::uint64_t Incarnation = 0;

  friend auto operator<=>(const host_identity &,
                          const host_identity &) = default;
};

} // namespace radishrelay::accounts

#endif
