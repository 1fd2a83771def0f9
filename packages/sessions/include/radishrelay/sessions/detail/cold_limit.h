#ifndef RADISHRELAY_SESSIONS_DETAIL_COLD_LIMIT_H
#define RADISHRELAY_SESSIONS_DETAIL_COLD_LIMIT_H

#include "radishrelay/accounts/account_limits.h"
#include "radishrelay/accounts/lending_limiter.h"
#include "radishrelay/base/monotonic_clock.h"

#include <optional>

namespace radishrelay::sessions::detail {

/// Time after which a token that was taken for a statement to a cold instance
/// is void, so that a host that was suspended does not send it late.
constexpr base::duration ColdPermitLifetime = std::chrono::milliseconds(250);

/// Name under which hosts lend each other the tokens of a cold instance. It
/// contains a blank, so that no client account has it.
base::account_id coldAccount(const base::instance_id &Instance);

/// Returns the limits of a token bucket that lets all hosts together send at
/// most \p StatementsPerSecond in any second, although a token may be used up
/// to the lifetimes of a loan and a permit after it has left the bucket. The
/// rate is 0 if the bound is too low for one.
accounts::account_limits coldLimits(const base::instance_id &Instance,
                                    double StatementsPerSecond);

/// The right to send one statement to a cold instance.
struct cold_permit {
  base::instance_id Instance;
  base::time_point ValidUntil;

  friend bool operator==(const cold_permit &, const cold_permit &) = default;
};

} // namespace radishrelay::sessions::detail

#endif
