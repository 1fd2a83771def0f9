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
  /// Empty after the owner has handed over its share.
  base::host_id Owner;
  std::uint64_t Incarnation = 0;
  /// Incremented with each write of the owner.
  std::uint64_t Sequence = 0;
  millionths Share = 0;
  /// Recent demand of the domain in tokens per second.
  std::int64_t Demand = 0;

  friend auto operator<=>(const share_entry &, const share_entry &) = default;
};

/// A row of the shares table: the leased shares of one account.
struct share_record {
  base::account_id Account;
  base::row_version Version = 0;
  std::map<base::failure_domain_id, share_entry> Domains;

  friend auto operator<=>(const share_record &, const share_record &) = default;
};

/// Parses a row. An absent or malformed row has no entries.
share_record parseShare(const base::table_row &Row);

/// Key of an account's row; formatShare returns its value.
base::row_key shareKey(const base::account_id &Account);
base::json formatShare(const share_record &Record);

} // namespace radishrelay::accounts

#endif
