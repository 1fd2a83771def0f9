#ifndef RADISHRELAY_GROUPS_TRANSACTION_END_H
#define RADISHRELAY_GROUPS_TRANSACTION_END_H

#include "radishrelay/groups/transaction_release.h"
#include "radishrelay/groups/transaction_reply.h"

#include <optional>

namespace radishrelay::groups {

/// What the caller has to do after a request of a transaction or the
/// transaction itself has ended.
struct transaction_end {
  /// Reply to the running request. Empty when no request was running, or when a
  /// statement succeeded and the caller replies with its result.
  std::optional<transaction_reply> Reply;
  /// Connection to release; present when the transaction has ended.
  std::optional<transaction_release> Release;

  friend bool operator==(const transaction_end &,
                         const transaction_end &) = default;
};

} // namespace radishrelay::groups

#endif
