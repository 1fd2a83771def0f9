#ifndef RADISHRELAY_ACCOUNTS_ADMISSION_H
#define RADISHRELAY_ACCOUNTS_ADMISSION_H

#include "radishrelay/base/monotonic_clock.h"

#include <compare>
#include <variant>

namespace radishrelay::accounts {

/// Decision to run the request.
struct admitted {
  /// The admission is void after this time point: the thread was paused in
  /// between, and the tokens may have expired. The caller reads the clock again
  /// before it runs the request.
  base::time_point ValidUntil;

  friend auto operator<=>(const admitted &, const admitted &) = default;
};

/// Why a request was refused.
enum class refusal_reason { RateExceeded, AccountUnknown };

/// Decision not to run the request (HTTP 429, ran=no).
struct refused {
  refusal_reason Reason = refusal_reason::RateExceeded;
  /// Earliest time at which a retry may succeed; sent as Retry-After.
  base::time_point RetryAt;

  friend auto operator<=>(const refused &, const refused &) = default;
};

/// The request waits for borrowed tokens. Another decision follows, at the
/// latest when Until has passed.
struct waiting {
  base::time_point Until;

  friend auto operator<=>(const waiting &, const waiting &) = default;
};

using admission = std::variant<admitted, refused, waiting>;

} // namespace radishrelay::accounts

#endif
