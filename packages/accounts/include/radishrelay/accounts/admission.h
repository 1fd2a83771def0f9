#ifndef RADISHRELAY_ACCOUNTS_ADMISSION_H
#define RADISHRELAY_ACCOUNTS_ADMISSION_H

#include "radishrelay/base/monotonic_clock.h"

#include <compare>
#include <variant>

namespace radishrelay::accounts {

/// The request may run.
struct admitted {
  /// The caller reads the clock again; past this time point the admission is
  /// void, since the thread was paused and the tokens may have expired.
  base::time_point ValidUntil;

  friend auto operator<=>(const admitted &, const admitted &) = default;
};

/// Why a request was refused.
enum class refusal_reason { RateExceeded, AccountUnknown };

/// The request does not run (429, ran=no).
struct refused {
  refusal_reason Reason = refusal_reason::RateExceeded;
  /// When a repeat has a chance; the source of Retry-After.
  base::time_point RetryAt;

  friend auto operator<=>(const refused &, const refused &) = default;
};

/// The request waits for borrowed tokens; a decision follows.
struct waiting {
  base::time_point Until;

  friend auto operator<=>(const waiting &, const waiting &) = default;
};

using admission = std::variant<admitted, refused, waiting>;

} // namespace radishrelay::accounts

#endif
