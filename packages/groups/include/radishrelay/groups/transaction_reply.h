#ifndef RADISHRELAY_GROUPS_TRANSACTION_REPLY_H
#define RADISHRELAY_GROUPS_TRANSACTION_REPLY_H

#include "radishrelay/groups/connection_number.h"
#include "radishrelay/groups/log_position.h"
#include "radishrelay/groups/ran_state.h"

#include <string>
#include <system_error>
#include <variant>

namespace radishrelay::groups {

/// Run the request on this connection and call
/// transaction_table::requestEnded().
struct use_connection {
  connection_number Connection = 0;

  friend bool operator==(const use_connection &,
                         const use_connection &) = default;
};

/// The transaction was committed or rolled back as requested. Also the reply to
/// a repeated commit or rollback.
struct transaction_finished {
  bool IsCommitted = false;
  /// Log position after a committed transaction. The log up to here has to be
  /// acknowledged, as for a write, before the reply is sent, also when the
  /// commit is repeated.
  log_position Position;

  friend bool operator==(const transaction_finished &,
                         const transaction_finished &) = default;
};

/// Report an error to the client.
struct transaction_refusal {
  std::error_code Code;
  ran_state Ran = ran_state::Unknown;

  friend bool operator==(const transaction_refusal &,
                         const transaction_refusal &) = default;
};

using transaction_reply =
    std::variant<use_connection, transaction_finished, transaction_refusal>;

/// Returns the reply to a request of a transaction whose host is unreachable or
/// has been restarted. \p EndsTransaction tells whether the request is a commit
/// or a rollback. A statement did not run, because the database rolls back
/// without COMMIT. For a commit or a rollback the outcome is unknown: an
/// earlier commit may have been sent without its answer being received.
transaction_refusal refusalForLostHost(bool EndsTransaction);

} // namespace radishrelay::groups

#endif
