#ifndef RADISHRELAY_FLEET_DRAIN_ACTION_H
#define RADISHRELAY_FLEET_DRAIN_ACTION_H

#include <variant>
#include <vector>

namespace radishrelay::fleet {

/// Answer the readiness check with an error and announce Leaving.
struct turn_readiness_off {
  friend bool operator==(const turn_readiness_off &,
                         const turn_readiness_off &) = default;
};

/// Refuse new requests and transactions with `draining`, ran=no.
struct refuse_new_work {
  friend bool operator==(const refuse_new_work &,
                         const refuse_new_work &) = default;
};

/// Give back the tokens borrowed from owners and collect those lent.
struct give_back_loans {
  friend bool operator==(const give_back_loans &,
                         const give_back_loans &) = default;
};

/// Hand over shares and ownership to the successors.
struct hand_over_shares {
  friend bool operator==(const hand_over_shares &,
                         const hand_over_shares &) = default;
};

/// End the requests and transactions that still run; their callers receive
/// outcome_unknown or transaction_lost.
struct cut_running_work {
  friend bool operator==(const cut_running_work &,
                         const cut_running_work &) = default;
};

/// Announce Gone and exit with status 0.
struct stop_process {
  friend bool operator==(const stop_process &, const stop_process &) = default;
};

using drain_action =
    std::variant<turn_readiness_off, refuse_new_work, give_back_loans,
                 hand_over_shares, cut_running_work, stop_process>;
using drain_actions = std::vector<drain_action>;

} // namespace radishrelay::fleet

#endif
