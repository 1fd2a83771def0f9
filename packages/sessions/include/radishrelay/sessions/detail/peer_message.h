#ifndef RADISHRELAY_SESSIONS_DETAIL_PEER_MESSAGE_H
#define RADISHRELAY_SESSIONS_DETAIL_PEER_MESSAGE_H

#include "radishrelay/accounts/lending_limiter.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"
#include "radishrelay/sessions/claim_view.h"
#include "radishrelay/sessions/detail/watched_source.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace radishrelay::sessions::detail {

/// Requests tokens of an account from an owner of its limits.
struct token_request {
  accounts::token_transfer Transfer;
  /// Send time on the sender's clock; the grant returns it. Identifies the
  /// request. Hosts of an earlier version send none.
  std::optional<base::time_point> AskedAt;

  friend bool operator==(const token_request &,
                         const token_request &) = default;
};

/// Answers a token_request. Zero tokens are a refusal.
struct token_grant {
  accounts::token_transfer Transfer;
  /// AskedAt of the request.
  std::optional<base::time_point> AskedAt;

  friend bool operator==(const token_grant &, const token_grant &) = default;
};

/// Requests the receiver's proof of a group's primary.
struct proof_request {
  base::group_id Group;
  /// Send time on the sender's clock; the reply returns it.
  base::time_point SentAt;

  friend bool operator==(const proof_request &,
                         const proof_request &) = default;
};

/// Answers a proof_request with the sender's proof of the primary.
struct proof_reply {
  base::group_id Group;
  /// SentAt of the request. Age was measured after the request had been sent,
  /// so on the clock of the host that asked the proof dates from AskedAt - Age
  /// or later.
  base::time_point AskedAt;
  base::instance_id Primary;
  groups::term_number Term = 0;
  /// Age of the proof when the reply was sent.
  base::duration Age{};
  /// End of the primary's log, from an answer to a call that was sent
  /// PositionAge before this reply.
  std::optional<groups::log_position> Position;
  base::duration PositionAge{};
  /// Highest position that a replica has shown.
  std::optional<groups::log_position> Replicated{};

  friend bool operator==(const proof_reply &, const proof_reply &) = default;
};

/// Votes to replace the primary of a group, which the sender finds
/// unresponsive.
struct promotion_vote {
  base::group_id Group;
  groups::term_number Term = 0;
  base::host_id Host;
  base::failure_domain_id Domain;

  friend bool operator==(const promotion_vote &,
                         const promotion_vote &) = default;
};

/// Asks which commits the receiver has acknowledged to its clients, for a
/// promotion that has fenced the replicas. The receiver gives up its lease.
struct commit_inquiry {
  base::group_id Group;
  groups::term_number Term = 0;
  /// Identifies the inquiry of the sender; the report returns it.
  std::uint64_t Round = 0;

  friend bool operator==(const commit_inquiry &,
                         const commit_inquiry &) = default;
};

/// Answers a commit_inquiry.
struct commit_report {
  base::group_id Group;
  std::uint64_t Round = 0;
  base::host_id Host;
  /// Time since the start of the sender, which knows no commit of an earlier
  /// run.
  base::duration RunningFor{};
  /// Position of the last commit of the term that it has acknowledged, if any.
  std::optional<groups::log_position> Acknowledged{};

  friend bool operator==(const commit_report &,
                         const commit_report &) = default;
};

/// Asks a host of another failure domain for a sign that it can be reached.
struct contact_request {
  /// Send time on the sender's clock; the reply returns it.
  base::time_point SentAt;

  friend bool operator==(const contact_request &,
                         const contact_request &) = default;
};

/// Answers a contact_request.
struct contact_reply {
  base::time_point AskedAt;

  friend bool operator==(const contact_reply &,
                         const contact_reply &) = default;
};

/// Requests the receiver's watch_report.
struct report_request {
  friend bool operator==(const report_request &,
                         const report_request &) = default;
};

/// Requests a read of the claims of all groups.
struct claim_request {
  /// Send time on the sender's clock; the reply returns it.
  base::time_point SentAt;
  /// How old the read may be when the request is received.
  base::duration MaxAge{};

  friend bool operator==(const claim_request &,
                         const claim_request &) = default;
};

/// The claim of one group.
struct group_claim {
  base::group_id Group;
  claim_view View;
  /// Term that a promotion is known to lead; 0 if none.
  groups::term_number LedTerm = 0;

  friend bool operator==(const group_claim &, const group_claim &) = default;
};

/// The claims of all groups from From up to, but without, To; an empty To means
/// no limit. A group in the range that is not listed has no claim.
struct claim_range {
  base::group_id From;
  base::group_id To;
  std::vector<group_claim> Claims;

  [[nodiscard]] bool contains(const base::group_id &Group) const {
    return Group >= From && (To.empty() || Group < To);
  }
  /// The claim of a group in the range.
  [[nodiscard]] group_claim of(const base::group_id &Group) const;

  friend bool operator==(const claim_range &, const claim_range &) = default;
};

/// Answers a claim_request with a part of the claims.
struct claim_reply {
  /// SentAt of the request.
  base::time_point AskedAt;
  /// Time from the receipt of the request until the read was sent, negative if
  /// the read was sent before. On the clock of the host that asked, the read
  /// was sent at AskedAt + ReadDelay or later. Empty if the store does not
  /// answer.
  std::optional<base::duration> ReadDelay;
  claim_range Range;

  friend bool operator==(const claim_reply &, const claim_reply &) = default;
};

using peer_message =
    std::variant<token_request, token_grant, proof_request, proof_reply,
                 promotion_vote, watch_report, report_request, claim_request,
                 claim_reply, commit_inquiry, commit_report, contact_request,
                 contact_reply>;

/// A message with the address to which replies are sent.
struct peer_datagram {
  std::string ReplyTo;
  peer_message Message;

  friend bool operator==(const peer_datagram &,
                         const peer_datagram &) = default;
};

/// Encodes a datagram as MessagePack.
std::string encodeDatagram(const peer_datagram &Datagram);
/// Decodes a datagram; empty if \p Bytes are malformed or of another protocol
/// version.
std::optional<peer_datagram> decodeDatagram(const std::string &Bytes);

} // namespace radishrelay::sessions::detail

#endif
