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

/// Request to call configuration_since(\p Since) on \p Peer and to pass the
/// answer to onDelta, or a failure to onFetchFailed.
struct fetch_configuration {
  base::host_id Peer;
  configuration_version Since = 0;

  friend bool operator==(const fetch_configuration &,
                         const fetch_configuration &) = default;
};

/// Request to execute \p Request on the store and to pass the answer to
/// onStoreAnswer with \p Id.
struct read_store {
  std::uint64_t Id = 0;
  base::store_request Request;

  friend bool operator==(const read_store &, const read_store &) = default;
};

/// This host now uses the document of \p Index.
struct configuration_adopted {
  std::shared_ptr<const configuration_index> Index;

  friend bool operator==(const configuration_adopted &,
                         const configuration_adopted &) = default;
};

/// \p Peer holds a different document under the same version. The caller
/// reports it to the operators. The peer's answers do not count as evidence.
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
