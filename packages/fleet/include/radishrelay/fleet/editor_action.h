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

/// Request to execute \p Request on the store and to pass the answer to
/// onStoreAnswer with \p Id.
struct send_store_request {
  std::uint64_t Id = 0;
  base::store_request Request;

  friend bool operator==(const send_store_request &,
                         const send_store_request &) = default;
};

/// Request to offer \p Document to the replica of \p Host (configuration_store)
/// and to pass the version that the replica then holds to onWitnessAnswer with
/// \p Sequence. The host may be this one.
struct store_at_witness {
  std::uint64_t Sequence = 0;
  base::host_id Host;
  configuration_pointer Document;

  friend bool operator==(const store_at_witness &,
                         const store_at_witness &) = default;
};

/// Request to offer \p Document to this host's own replica; no answer is
/// passed back.
struct offer_to_replica {
  configuration_pointer Document;

  friend bool operator==(const offer_to_replica &,
                         const offer_to_replica &) = default;
};

/// The submission \p Id ended with \p Result. The caller answers all requests
/// that wait for it.
struct submission_finished {
  std::string Id;
  submission_result Result;

  friend bool operator==(const submission_finished &,
                         const submission_finished &) = default;
};

using editor_action = std::variant<send_store_request, store_at_witness,
                                   offer_to_replica, submission_finished>;
using editor_actions = std::vector<editor_action>;

} // namespace radishrelay::fleet

#endif
