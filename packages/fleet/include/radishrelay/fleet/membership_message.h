#ifndef RADISHRELAY_FLEET_MEMBERSHIP_MESSAGE_H
#define RADISHRELAY_FLEET_MEMBERSHIP_MESSAGE_H

#include "radishrelay/base/expected.h"
#include "radishrelay/fleet/evidence_answer.h"
#include "radishrelay/fleet/member_update.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Largest packet: below the usual MTU of 1,500 bytes with tunnel headers, so
/// that no packet is fragmented.
inline constexpr std::size_t LargestPacketBytes = 1200;

/// Heartbeat that asks for an acknowledgement.
struct ping_message {
  std::uint64_t Sequence = 0;
  /// Members that the sender knows; a host that knows few is told of more.
  std::uint64_t Known = 0;
  evidence_answer Configuration;
  std::vector<member_update> Updates;

  friend bool operator==(const ping_message &, const ping_message &) = default;
};

/// Answer to a ping, or to a probe on behalf of another host.
struct ack_message {
  std::uint64_t Sequence = 0;
  /// The host that is alive; differs from the sender when it was relayed.
  base::host_id Subject;
  /// Of the subject; counts as evidence only when not relayed.
  evidence_answer Configuration;
  std::vector<member_update> Updates;

  friend bool operator==(const ack_message &, const ack_message &) = default;
};

/// Asks a host to ping \p Target and to relay its acknowledgement.
struct probe_message {
  std::uint64_t Sequence = 0;
  base::host_id Target;
  std::string TargetAddress;

  friend bool operator==(const probe_message &,
                         const probe_message &) = default;
};

/// A witness's view of its failure domain, for witnesses of the others: what
/// changed recently and a part of the whole list in turn.
struct summary_message {
  base::failure_domain_id FailureDomain;
  evidence_answer Configuration;
  std::vector<member_update> Updates;

  friend bool operator==(const summary_message &,
                         const summary_message &) = default;
};

/// Question of freshness_evidence.
struct version_query {
  std::uint64_t Sequence = 0;

  friend bool operator==(const version_query &,
                         const version_query &) = default;
};

/// Answer to a version_query.
struct version_reply {
  std::uint64_t Sequence = 0;
  evidence_answer Configuration;

  friend bool operator==(const version_reply &,
                         const version_reply &) = default;
};

using membership_body =
    std::variant<ping_message, ack_message, probe_message, summary_message,
                 version_query, version_reply>;

/// A packet of the heartbeat port.
struct membership_message {
  base::host_id Sender;
  std::uint64_t Incarnation = 0;
  membership_body Body;

  friend bool operator==(const membership_message &,
                         const membership_message &) = default;
};

/// MessagePack form of \p Message.
std::string encodeMessage(const membership_message &Message);

/// Inverse of encodeMessage; fails with the step "decode heartbeat".
base::expected<membership_message> decodeMessage(const std::string &Packet);

} // namespace radishrelay::fleet

#endif
