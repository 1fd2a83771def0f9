#ifndef RADISHRELAY_ACCOUNTS_TOKEN_BUCKET_H
#define RADISHRELAY_ACCOUNTS_TOKEN_BUCKET_H

#include "radishrelay/accounts/token_share.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/monotonic_clock.h"

#include <compare>

namespace radishrelay::accounts {

/// A token bucket in integer arithmetic that starts empty.
///
/// Refills are exact in any sequence of calls: no fraction of a token is lost
/// or gained by rounding.
class token_bucket {
public:
  token_bucket() = default;
  token_bucket(token_share Share, base::time_point Now)
      : Share(Share), UpdatedAt(Now) {}

  /// Adds the tokens accrued since the last call, as far as the level and
  /// \p Reserved together stay within the burst. A time point earlier than the
  /// last one adds nothing.
  void refill(base::time_point Now, token_amount Reserved = 0);

  /// Refills at the old rate, then replaces the share. A smaller burst lowers
  /// the level.
  void setShare(token_share NewShare, base::time_point Now,
                token_amount Reserved = 0);

  /// Takes \p Amount. Returns false and takes nothing if the level is lower.
  bool take(token_amount Amount);

  /// Adds returned tokens, as far as the level and \p Reserved together stay
  /// within the burst.
  void putBack(token_amount Amount, token_amount Reserved = 0);

  [[nodiscard]] token_amount level() const { return Level; }
  [[nodiscard]] const token_share &share() const { return Share; }

  /// When the level will reach \p Amount if no tokens are taken;
  /// time_point::max() if it never will.
  [[nodiscard]] base::time_point levelReachedAt(token_amount Amount) const;

  [[nodiscard]] base::json dump() const;

  friend auto operator<=>(const token_bucket &, const token_bucket &) = default;

private:
  token_share Share;
  token_amount Level = 0;
  base::time_point UpdatedAt;
};

} // namespace radishrelay::accounts

#endif
