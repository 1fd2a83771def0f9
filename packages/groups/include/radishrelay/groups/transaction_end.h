#ifndef RADISHRELAY_GROUPS_TRANSACTION_END_H
#define RADISHRELAY_GROUPS_TRANSACTION_END_H

#include "radishrelay/groups/transaction_release.h"
#include "radishrelay/groups/transaction_reply.h"

#include <optional>

namespace radishrelay::groups {

/// Consequence of the end of a request in a transaction.
struct transaction_end {
  /// The reply, unless the request itself succeeded and has its own result.
  std::optional<transaction_reply> Reply;
  /// Present when the transaction has ended.
  std::optional<transaction_release> Release;

  friend bool operator==(const transaction_end &,
                         const transaction_end &) = default;
};

} // namespace radishrelay::groups

#endif
