#ifndef RADISHRELAY_SESSIONS_CLAIM_VIEW_H
#define RADISHRELAY_SESSIONS_CLAIM_VIEW_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/groups/log_position.h"

#include <optional>

namespace radishrelay::sessions {

/// What the claim of a group says about its terms and its log.
struct claim_view {
  /// Highest term that an announced order may have led to.
  groups::term_number AnnouncedTerm = 0;
  /// Whether a host may be about to announce a later term.
  bool IsAttemptInProgress = false;
  /// The primary of LeaderTerm: the promoted instance, or the one that an
  /// attempt was to replace. Empty if the claim names none.
  base::instance_id Leader{};
  groups::term_number LeaderTerm = 0;
  /// Highest position that a replica was known to have reached.
  std::optional<groups::log_position> Replicated{};

  friend bool operator==(const claim_view &, const claim_view &) = default;
};

} // namespace radishrelay::sessions

#endif
