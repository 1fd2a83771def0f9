#ifndef RADISHRELAY_BASE_STORE_REQUEST_H
#define RADISHRELAY_BASE_STORE_REQUEST_H

#include "radishrelay/base/json.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace radishrelay::base {

/// Identifies a row of the platform's table service.
struct row_key {
  std::string Table;
  std::string Key;

  friend auto operator<=>(const row_key &, const row_key &) = default;
};

/// Version of a row; 0 if the row is absent. Later writes have higher versions,
/// also across histories of the store (see store_version.h).
using row_version = std::uint64_t;

/// A row read from the table service.
struct table_row {
  row_key Key;
  row_version Version = 0;
  /// null if the row is absent.
  json Value;
  /// Whether a change feed reports that the row was deleted. The value of a row
  /// that cannot be read is null too.
  bool IsDeleted = false;

  friend bool operator==(const table_row &, const table_row &) = default;
};

/// Reads one row.
struct read_row {
  row_key Key;

  friend bool operator==(const read_row &, const read_row &) = default;
};

/// Reads all rows of a table.
struct read_table {
  std::string Table;

  friend bool operator==(const read_table &, const read_table &) = default;
};

/// Precondition of a transaction: the row has this version at the time the
/// transaction is applied.
struct row_condition {
  row_key Key;
  row_version Version = 0;

  friend bool operator==(const row_condition &,
                         const row_condition &) = default;
};

/// Replaces a row, or removes it if \p Value is null.
struct row_write {
  row_key Key;
  json Value;

  friend bool operator==(const row_write &, const row_write &) = default;
};

/// Atomically writes all rows if all conditions hold; otherwise writes none.
struct store_transaction {
  std::vector<row_condition> Conditions;
  std::vector<row_write> Writes;

  friend bool operator==(const store_transaction &,
                         const store_transaction &) = default;
};

/// A request to the platform's table service.
using store_request = std::variant<read_row, read_table, store_transaction>;

} // namespace radishrelay::base

#endif
