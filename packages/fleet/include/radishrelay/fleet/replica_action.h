#ifndef RADISHRELAY_FLEET_REPLICA_ACTION_H
#define RADISHRELAY_FLEET_REPLICA_ACTION_H

#include "radishrelay/base/store_request.h"
#include "radishrelay/fleet/configuration_index.h"
#include "radishrelay/fleet/request_version.h"

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Call configuration_since(\p Since) at \p Peer and pass the answer to
/// onDelta, or its failure to onFetchFailed.
struct fetch_configuration {
  base::host_id Peer;
  configuration_version Since = 0;

  friend bool operator==(const fetch_configuration &,
                         const fetch_configuration &) = default;
};

/// Execute \p Request and pass the answer to onStoreAnswer with \p Id.
struct read_store {
  std::uint64_t Id = 0;
  base::store_request Request;

  friend bool operator==(const read_store &, const read_store &) = default;
};

/// A new version is in force on this host.
struct configuration_adopted {
  std::shared_ptr<const configuration_index> Index;

  friend bool operator==(const configuration_adopted &,
                         const configuration_adopted &) = default;
};

/// A peer holds another document of the same version. To be reported to the
/// operators; its answers do not count as evidence.
struct configuration_diverged {
  base::host_id Peer;
  configuration_version Version = 0;

  friend bool operator==(const configuration_diverged &,
                         const configuration_diverged &) = default;
};

using replica_action =
    std::variant<fetch_configuration, read_store, configuration_adopted,
                 configuration_diverged, request_version>;
using replica_actions = std::vector<replica_action>;

} // namespace radishrelay::fleet

#endif
