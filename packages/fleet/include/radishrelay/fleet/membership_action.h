#ifndef RADISHRELAY_FLEET_MEMBERSHIP_ACTION_H
#define RADISHRELAY_FLEET_MEMBERSHIP_ACTION_H

#include "radishrelay/fleet/membership_message.h"

#include <string>
#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Send \p Message to \p Address over UDP.
struct send_packet {
  std::string Address;
  membership_message Message;

  friend bool operator==(const send_packet &, const send_packet &) = default;
};

/// \p Member is new in this host's view, or its state or incarnation changed.
struct member_changed {
  member_update Member;

  friend bool operator==(const member_changed &,
                         const member_changed &) = default;
};

/// Configuration report of a host that acknowledged a heartbeat sent at
/// \p AskedAt. Pass to configuration_replica::onDatedAnswer.
struct peer_evidence {
  base::host_id Host;
  evidence_answer Answer;
  base::time_point AskedAt;

  friend bool operator==(const peer_evidence &,
                         const peer_evidence &) = default;
};

/// \p Host holds a newer configuration version than this host. Pass to
/// configuration_replica::onPeerVersion.
struct peer_version {
  base::host_id Host;
  configuration_version Version = 0;

  friend bool operator==(const peer_version &, const peer_version &) = default;
};

/// Reply to a version_query. Pass to configuration_replica::onAnswer.
struct version_answered {
  base::host_id Host;
  std::uint64_t Sequence = 0;
  evidence_answer Answer;

  friend bool operator==(const version_answered &,
                         const version_answered &) = default;
};

using membership_action =
    std::variant<send_packet, member_changed, peer_evidence, peer_version,
                 version_answered>;
using membership_actions = std::vector<membership_action>;

} // namespace radishrelay::fleet

#endif
