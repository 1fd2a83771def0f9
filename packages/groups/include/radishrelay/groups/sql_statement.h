#ifndef RADISHRELAY_GROUPS_SQL_STATEMENT_H
#define RADISHRELAY_GROUPS_SQL_STATEMENT_H

#include <optional>
#include <string>
#include <vector>

namespace radishrelay::groups {

/// An SQL statement with the values of its parameters $1, $2 and so on. An
/// empty optional stands for SQL NULL.
struct sql_statement {
  std::string Text;
  std::vector<std::optional<std::string>> Parameters;

  friend bool operator==(const sql_statement &,
                         const sql_statement &) = default;
};

} // namespace radishrelay::groups

#endif
