#ifndef RADISHRELAY_FLEET_EDITOR_ACTION_H
#define RADISHRELAY_FLEET_EDITOR_ACTION_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/base/store_request.h"
#include "radishrelay/fleet/configuration_index.h"
#include "radishrelay/fleet/submission_result.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Execute \p Request and pass the answer to onStoreAnswer with \p Id.
struct use_store {
  std::uint64_t Id = 0;
  base::store_request Request;

  friend bool operator==(const use_store &, const use_store &) = default;
};

/// Offer \p Document to the replica of \p Host (configuration_store), which
/// may be this host, and pass the version that it then holds to
/// onWitnessAnswer with \p Sequence.
struct store_at_witness {
  std::uint64_t Sequence = 0;
  base::host_id Host;
  configuration_pointer Document;

  friend bool operator==(const store_at_witness &,
                         const store_at_witness &) = default;
};

/// Offer \p Document to this host's own replica.
struct offer_to_replica {
  configuration_pointer Document;

  friend bool operator==(const offer_to_replica &,
                         const offer_to_replica &) = default;
};

/// Answer all requests that wait for the submission \p Id.
struct submission_finished {
  std::string Id;
  submission_result Result;

  friend bool operator==(const submission_finished &,
                         const submission_finished &) = default;
};

using editor_action = std::variant<use_store, store_at_witness,
                                   offer_to_replica, submission_finished>;
using editor_actions = std::vector<editor_action>;

} // namespace radishrelay::fleet

#endif
