#ifndef RADISHRELAY_SESSIONS_DETAIL_PEER_MESSAGE_H
#define RADISHRELAY_SESSIONS_DETAIL_PEER_MESSAGE_H

#include "radishrelay/accounts/lending_limiter.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/groups/log_position.h"
#include "radishrelay/sessions/detail/watched_source.h"

#include <optional>
#include <string>
#include <variant>

namespace radishrelay::sessions::detail {

/// Asks for tokens of an account.
struct token_request {
  accounts::token_transfer Transfer;

  friend bool operator==(const token_request &,
                         const token_request &) = default;
};

/// Gives tokens of an account.
struct token_grant {
  accounts::token_transfer Transfer;

  friend bool operator==(const token_grant &, const token_grant &) = default;
};

/// Asks what the receiver can prove about the primary of a group.
struct proof_request {
  base::group_id Group;
  /// When it was sent, by the clock of its sender; returned with the answer.
  base::time_point SentAt;

  friend bool operator==(const proof_request &,
                         const proof_request &) = default;
};

/// What its sender can prove about the primary of a group.
struct proof_reply {
  base::group_id Group;
  /// The SentAt of the wish. The sender held the proof after it, so the proof
  /// is at most Age older than this on the clock of the receiver.
  base::time_point AskedAt;
  base::instance_id Primary;
  groups::term_number Term = 0;
  /// Age of the proof when the offer was sent.
  base::duration Age{};
  /// End of the primary's log in an answer to a request of that age.
  std::optional<groups::log_position> Position;
  base::duration PositionAge{};

  friend bool operator==(const proof_reply &, const proof_reply &) = default;
};

/// Its sender misses the primary of a group.
struct promotion_vote {
  base::group_id Group;
  groups::term_number Term = 0;
  base::host_id Host;
  base::failure_domain_id Domain;

  friend bool operator==(const promotion_vote &,
                         const promotion_vote &) = default;
};

using peer_message = std::variant<token_request, token_grant, proof_request,
                                  proof_reply, promotion_vote, watch_report>;

/// A message with the address that answers go to.
struct peer_datagram {
  std::string ReplyTo;
  peer_message Message;

  friend bool operator==(const peer_datagram &,
                         const peer_datagram &) = default;
};

/// Packs a datagram as MessagePack.
std::string encodeDatagram(const peer_datagram &Datagram);
/// Empty when \p Bytes hold no datagram of this version.
std::optional<peer_datagram> decodeDatagram(const std::string &Bytes);

} // namespace radishrelay::sessions::detail

#endif
