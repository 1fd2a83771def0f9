#ifndef RADISHRELAY_ACCOUNTS_LIMITS_TIMING_H
#define RADISHRELAY_ACCOUNTS_LIMITS_TIMING_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>

/// Times of the protocol that distributes rate limits. All hosts must use the
/// same values.
namespace radishrelay::accounts::timing {

/// Validity of a leased share, counted from the start of the cycle that leases
/// it.
constexpr base::duration ShareLease = std::chrono::seconds(3);
/// Interval at which a leased share is renewed.
constexpr base::duration ShareRenewalInterval = std::chrono::seconds(1);
/// Delay before a retry after a conflict or a failed store request.
constexpr base::duration ShareRetryDelay = std::chrono::milliseconds(250);
/// Other hosts add this to ShareLease before they treat a share as expired. It
/// covers differences between clock rates, and MaxActionDelay.
constexpr base::duration ShareMargin = std::chrono::milliseconds(500);

/// Validity of a host slot, counted from before its store request was sent.
constexpr base::duration SlotLease = std::chrono::hours(1);
constexpr base::duration SlotRenewalInterval = std::chrono::seconds(60);
constexpr base::duration SlotRetryDelay = std::chrono::seconds(1);
/// Other hosts add this to SlotLease before they treat a slot as expired. It
/// covers clock rates that differ by up to 1,000 ppm over the slot lease.
constexpr base::duration SlotMargin = std::chrono::seconds(4);

/// Maximum validity of a loan, counted by the borrower from before it sent the
/// loan request.
constexpr base::duration LoanLease = std::chrono::seconds(1);
/// The lender adds this to the validity of a loan before it refills the lent
/// tokens. Must be greater than MaxActionDelay.
constexpr base::duration LoanMargin = std::chrono::milliseconds(100);

/// A decision is void if it is executed later than this after it was made,
/// since the thread was paused in between.
constexpr base::duration MaxActionDelay = std::chrono::milliseconds(50);

/// Time in which a host uses the smaller of the old and new limits after a
/// change. A change is in force everywhere within 4 s (P13), and shares leased
/// under the old limits are valid for up to ShareLease + ShareMargin.
constexpr base::duration ConfigurationPhase =
    std::chrono::seconds(4) + ShareLease + ShareMargin;

/// Time for which a host must have been live before it may own leased shares.
/// Longer than ConfigurationPhase, during which a started host uses no shares.
constexpr base::duration OwnerMinUptime = std::chrono::seconds(10);

/// Interval at which account_limiter::tick is called.
constexpr base::duration TickInterval = std::chrono::milliseconds(10);

} // namespace radishrelay::accounts::timing

#endif
