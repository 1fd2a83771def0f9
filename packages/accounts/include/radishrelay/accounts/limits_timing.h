#ifndef RADISHRELAY_ACCOUNTS_LIMITS_TIMING_H
#define RADISHRELAY_ACCOUNTS_LIMITS_TIMING_H

#include "radishrelay/base/monotonic_clock.h"

#include <chrono>

/// Times of the limits protocol. All hosts must use the same values.
namespace radishrelay::accounts::timing {

/// Validity of a leased share, counted from before its request.
constexpr base::duration ShareLease = std::chrono::seconds(3);
/// How often a leased share is renewed.
constexpr base::duration ShareRenewalInterval = std::chrono::seconds(1);
/// Retry after a conflict or a failed store request.
constexpr base::duration ShareRetryDelay = std::chrono::milliseconds(250);
/// Added by others before they treat a share as expired; covers differences
/// between clock rates and MaxActionDelay.
constexpr base::duration ShareMargin = std::chrono::milliseconds(500);

/// Validity of a host slot, counted from before its request.
constexpr base::duration SlotLease = std::chrono::hours(1);
constexpr base::duration SlotRenewalInterval = std::chrono::seconds(60);
constexpr base::duration SlotRetryDelay = std::chrono::seconds(1);
/// Covers clock rates that differ by up to 1,000 ppm over the slot lease.
constexpr base::duration SlotMargin = std::chrono::seconds(4);

/// Validity of a loan, counted by the borrower from before its request.
constexpr base::duration LoanLease = std::chrono::seconds(1);
/// Added by the lender before it frees the room of a loan; above
/// MaxActionDelay.
constexpr base::duration LoanMargin = std::chrono::milliseconds(100);

/// A decision made at some time point is void when it is executed later than
/// this: the thread was paused in between.
constexpr base::duration MaxActionDelay = std::chrono::milliseconds(50);

/// How long a host stays within the smaller of the old and new limits: a
/// change is in force everywhere within 4 s (P13), and shares leased under
/// the old limits live for ShareLease and ShareMargin.
constexpr base::duration ConfigurationPhase =
    std::chrono::seconds(4) + ShareLease + ShareMargin;

/// How long a host must have been live before it owns leased shares: longer
/// than ConfigurationPhase, before which a started host uses no shares.
constexpr base::duration OwnerMinUptime = std::chrono::seconds(10);

/// How often tick is to be called.
constexpr base::duration TickInterval = std::chrono::milliseconds(10);

} // namespace radishrelay::accounts::timing

#endif
