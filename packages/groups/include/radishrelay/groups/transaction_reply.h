#ifndef RADISHRELAY_GROUPS_TRANSACTION_REPLY_H
#define RADISHRELAY_GROUPS_TRANSACTION_REPLY_H

#include "radishrelay/groups/connection_number.h"
#include "radishrelay/groups/log_position.h"
#include "radishrelay/groups/ran_state.h"

#include <string>
#include <system_error>
#include <variant>

namespace radishrelay::groups {

/// Run the request on this connection, and report its end.
struct use_connection {
  connection_number Connection = 0;

  friend bool operator==(const use_connection &,
                         const use_connection &) = default;
};

/// The transaction has ended as the request wanted; also the answer to a
/// repeated commit or rollback.
struct transaction_finished {
  bool IsCommitted = false;
  /// End of a committed transaction in the log. It is to be acknowledged like
  /// that of a write before the reply, also when the commit is repeated.
  log_position Position;

  friend bool operator==(const transaction_finished &,
                         const transaction_finished &) = default;
};

/// The request ends with an error.
struct transaction_refusal {
  std::error_code Code;
  ran_state Ran = ran_state::Unknown;

  friend bool operator==(const transaction_refusal &,
                         const transaction_refusal &) = default;
};

using transaction_reply =
    std::variant<use_connection, transaction_finished, transaction_refusal>;

/// Returns the reply for a transaction whose host cannot be reached or has
/// been restarted. Without COMMIT the database rolls back. A commit may have
/// been sent before, and a rollback may follow a commit without answer, hence
/// both leave the outcome unknown (\p EndsTransaction).
transaction_refusal refusalForLostHost(bool EndsTransaction);

} // namespace radishrelay::groups

#endif
