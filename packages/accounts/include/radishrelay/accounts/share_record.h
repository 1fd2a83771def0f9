#ifndef RADISHRELAY_ACCOUNTS_SHARE_RECORD_H
#define RADISHRELAY_ACCOUNTS_SHARE_RECORD_H

#include "radishrelay/accounts/token_amount.h"
#include "radishrelay/base/identifier.h"
#include "radishrelay/base/json.h"
#include "radishrelay/base/store_request.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace radishrelay::accounts {

/// Table of the platform's table service with one row per client account.
inline const std::string SharesTable = "shares";

/// The leased share of one failure domain.
struct share_entry {
  /// Empty after a hand-over.
  base::host_id Owner;
  std::uint64_t Incarnation = 0;
  /// Rises with each write of the owner.
  std::uint64_t Sequence = 0;
  millionths Share = 0;
  /// Tokens per second that the domain asked for lately.
  std::int64_t Demand = 0;

  friend auto operator<=>(const share_entry &, const share_entry &) = default;
};

/// A row of the table of leased shares.
struct share_record {
  base::account_id Account;
  base::row_version Version = 0;
  std::map<base::failure_domain_id, share_entry> Domains;

  friend auto operator<=>(const share_record &, const share_record &) = default;
};

/// Reads a row; an absent or malformed row has no entries.
share_record parseShare(const base::table_row &Row);

/// Key and value of an account's row.
base::row_key shareKey(const base::account_id &Account);
base::json formatShare(const share_record &Record);

} // namespace radishrelay::accounts

#endif
