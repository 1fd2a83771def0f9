#ifndef RADISHRELAY_BACKEND_STATEMENT_H
#define RADISHRELAY_BACKEND_STATEMENT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishrelay::backend {

/// A value of a statement's parameter or result; empty means SQL NULL.
using sql_value = std::optional<std::string>;

/// One SQL statement with its parameters $1, $2, and so on.
struct statement {
  std::string Text;
  std::vector<sql_value> Parameters;

  friend bool operator==(const statement &, const statement &) = default;
};

/// Rows that one statement returned.
struct result_set {
  std::vector<std::string> Columns;
  std::vector<std::vector<sql_value>> Rows;
  /// Rows inserted, changed or removed.
  std::uint64_t Affected = 0;

  friend bool operator==(const result_set &, const result_set &) = default;
};

} // namespace radishrelay::backend

#endif
