#ifndef RADISHRELAY_BACKEND_SRC_SQL_ERROR_H
#define RADISHRELAY_BACKEND_SRC_SQL_ERROR_H

#include <string>

namespace radishrelay::backend::detail {

/// An error as a PostgreSQL server reports it.
struct sql_error {
  /// Five characters of the SQL standard or of PostgreSQL.
  std::string SqlState;
  std::string Message;

  friend bool operator==(const sql_error &, const sql_error &) = default;
};

} // namespace radishrelay::backend::detail

#endif
