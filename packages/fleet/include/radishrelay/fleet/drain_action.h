#ifndef RADISHRELAY_FLEET_DRAIN_ACTION_H
#define RADISHRELAY_FLEET_DRAIN_ACTION_H

#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Fail the readiness check and announce member_state::Leaving.
struct disable_readiness {
  friend bool operator==(const disable_readiness &,
                         const disable_readiness &) = default;
};

/// Refuse new requests and transactions with `draining`, ran=no.
struct refuse_new_work {
  friend bool operator==(const refuse_new_work &,
                         const refuse_new_work &) = default;
};

/// Return the tokens that are borrowed from owners and collect those that are
/// lent to other hosts.
struct return_loans {
  friend bool operator==(const return_loans &, const return_loans &) = default;
};

/// Transfer shares and ownership to the hosts that succeed this one.
struct transfer_shares {
  friend bool operator==(const transfer_shares &,
                         const transfer_shares &) = default;
};

/// Abort the requests and transactions that are still running. Their callers
/// receive outcome_unknown or transaction_lost.
struct abort_running_work {
  friend bool operator==(const abort_running_work &,
                         const abort_running_work &) = default;
};

/// Announce member_state::Gone and exit with status 0.
struct stop_process {
  friend bool operator==(const stop_process &, const stop_process &) = default;
};

using drain_action =
    std::variant<disable_readiness, refuse_new_work, return_loans,
                 transfer_shares, abort_running_work, stop_process>;
using drain_actions = std::vector<drain_action>;

} // namespace radishrelay::fleet

#endif
