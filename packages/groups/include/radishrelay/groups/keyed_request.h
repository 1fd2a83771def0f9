#ifndef RADISHRELAY_GROUPS_KEYED_REQUEST_H
#define RADISHRELAY_GROUPS_KEYED_REQUEST_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/groups/sql_statement.h"

#include <cstdint>
#include <string>

namespace radishrelay::groups {

/// A write request with an idempotency key.
struct keyed_request {
  base::account_id Account;
  /// Value of the header Idempotency-Key.
  std::string Key;
  std::string Route;
  /// Digest of the request body. It detects a key that is reused with another
  /// body.
  std::string BodyDigest;
  sql_statement Statement;
  /// Milliseconds since the Unix epoch.
  std::int64_t ReceivedAtMs = 0;

  friend bool operator==(const keyed_request &,
                         const keyed_request &) = default;
};

} // namespace radishrelay::groups

#endif
