#ifndef RADISHRELAY_ACCOUNTS_LIMITER_ACTION_H
#define RADISHRELAY_ACCOUNTS_LIMITER_ACTION_H

#include "radishrelay/accounts/admission.h"
#include "radishrelay/accounts/loan_messages.h"
#include "radishrelay/base/store_request.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace radishrelay::accounts {

/// Which part of the limiter asked the store.
enum class store_requester { HostSlots, LeasedShares };

/// Asks the table service; the answer goes to account_limiter::storeAnswered.
struct ask_store {
  store_requester User = store_requester::HostSlots;
  base::store_request Request;

  friend bool operator==(const ask_store &, const ask_store &) = default;
};

/// Sends a message to another host's limiter. Must be dropped when the clock,
/// read again before sending, is past ValidUntil.
struct send_loan_message {
  base::host_id To;
  limiter_message Message;
  base::time_point ValidUntil;

  friend bool operator==(const send_loan_message &,
                         const send_loan_message &) = default;
};

/// Number that the caller gave to a request.
using request_number = std::uint64_t;

/// The decision for a request. A waiting one is followed by another.
struct request_decided {
  request_number Request = 0;
  base::account_id Account;
  admission Admission;

  friend bool operator==(const request_decided &,
                         const request_decided &) = default;
};

using limiter_action =
    std::variant<ask_store, send_loan_message, request_decided>;
using limiter_actions = std::vector<limiter_action>;

} // namespace radishrelay::accounts

#endif
