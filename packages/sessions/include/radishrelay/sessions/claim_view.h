#ifndef RADISHRELAY_SESSIONS_CLAIM_VIEW_H
#define RADISHRELAY_SESSIONS_CLAIM_VIEW_H

#include "radishrelay/groups/log_position.h"

namespace radishrelay::sessions {

/// What the claim of a group says about its terms.
struct claim_view {
  /// Highest term that an announced order may have led to.
  groups::term_number AnnouncedTerm = 0;
  /// Whether a host may be about to announce a later term.
  bool IsAttemptInProgress = false;

  friend bool operator==(const claim_view &, const claim_view &) = default;
};

} // namespace radishrelay::sessions

#endif
