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

/// Maximum packet size. With tunnel headers it is below the usual MTU of 1,500
/// bytes, so that packets are not fragmented.
inline constexpr std::size_t MaxPacketBytes = 1200;

/// Heartbeat that requests an acknowledgement.
struct ping_message {
  std::uint64_t Sequence = 0;
  /// Number of members that the sender knows. If the receiver knows more, its
  /// acknowledgement carries additional members.
  std::uint64_t KnownMembers = 0;
  evidence_answer Configuration;
  std::vector<member_update> Updates;

  friend bool operator==(const ping_message &, const ping_message &) = default;
};

/// Acknowledges a ping. A host that pinged on behalf of another one relays the
/// acknowledgement to it.
struct ack_message {
  std::uint64_t Sequence = 0;
  /// The host that answered the ping; differs from the sender if the
  /// acknowledgement is relayed.
  base::host_id Subject;
  /// Configuration report of the subject. Used as freshness evidence only if
  /// the acknowledgement is not relayed.
  evidence_answer Configuration;
  std::vector<member_update> Updates;

  friend bool operator==(const ack_message &, const ack_message &) = default;
};

/// Requests that the receiver pings \p Target and relays its acknowledgement.
struct probe_message {
  std::uint64_t Sequence = 0;
  base::host_id Target;
  std::string TargetAddress;

  friend bool operator==(const probe_message &,
                         const probe_message &) = default;
};

/// Sent by a witness to the witnesses of other failure domains: the recent
/// changes in its own domain and a page of the domain's member list.
struct summary_message {
  base::failure_domain_id FailureDomain;
  evidence_answer Configuration;
  std::vector<member_update> Updates;

  friend bool operator==(const summary_message &,
                         const summary_message &) = default;
};

/// Requests the receiver's configuration report, for freshness_evidence.
struct version_query {
  std::uint64_t Sequence = 0;

  friend bool operator==(const version_query &,
                         const version_query &) = default;
};

/// Reply to a version_query.
struct version_reply {
  std::uint64_t Sequence = 0;
  evidence_answer Configuration;

  friend bool operator==(const version_reply &,
                         const version_reply &) = default;
};

using membership_body =
    std::variant<ping_message, ack_message, probe_message, summary_message,
                 version_query, version_reply>;

/// Contents of one packet on the heartbeat port.
struct membership_message {
  base::host_id Sender;
  std::uint64_t Incarnation = 0;
  membership_body Body;

  friend bool operator==(const membership_message &,
                         const membership_message &) = default;
};

/// Encodes \p Message as MessagePack.
std::string encodeMessage(const membership_message &Message);

/// Decodes a packet of encodeMessage. The failure of a malformed packet has the
/// step "decode heartbeat".
base::expected<membership_message> decodeMessage(const std::string &Packet);

} // namespace radishrelay::fleet

#endif
