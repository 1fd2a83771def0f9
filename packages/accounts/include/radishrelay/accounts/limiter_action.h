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

/// The part of the limiter that sent a store request.
enum class store_requester { HostSlots, LeasedShares };

/// Sends a request to the table service. The caller passes the answer to
/// account_limiter::storeAnswered.
struct ask_store {
  store_requester User = store_requester::HostSlots;
  base::store_request Request;

  friend bool operator==(const ask_store &, const ask_store &) = default;
};

/// Sends a message to the limiter of another host. The caller reads the clock
/// again before sending and drops the message if ValidUntil has passed.
struct send_loan_message {
  base::host_id To;
  limiter_message Message;
  base::time_point ValidUntil;

  friend bool operator==(const send_loan_message &,
                         const send_loan_message &) = default;
};

/// Number by which the caller identifies a request.
using request_number = std::uint64_t;

/// The decision on a request. After a \c waiting decision, another follows.
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
