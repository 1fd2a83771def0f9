#ifndef RADISHRELAY_BACKEND_SRC_SQLITE_DATABASE_H
#define RADISHRELAY_BACKEND_SRC_SQLITE_DATABASE_H

#include "radishrelay/backend/statement.h"
#include "radishrelay/base/expected.h"
#include "sql_error.h"

#include <sqlite3.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace radishrelay::backend::detail {

/// A prepared statement as far as the protocol describes it.
struct prepared_shape {
  std::vector<std::string> Columns;
  std::size_t Parameters = 0;
  bool IsWrite = false;
};

/// A private in-memory SQLite database with a cache of prepared statements.
class sqlite_database {
public:
  sqlite_database();

  base::expected<prepared_shape, sql_error> describe(const std::string &Text);
  base::expected<result_set, sql_error> run(const statement &Statement);

  void begin() { control("BEGIN"); }
  void commit() { control("COMMIT"); }
  void rollback() { control("ROLLBACK"); }

private:
  struct close_database {
    void operator()(sqlite3 *Database) const { sqlite3_close_v2(Database); }
  };
  struct finalize_statement {
    void operator()(sqlite3_stmt *Handle) const { sqlite3_finalize(Handle); }
  };
  struct cached_statement {
    std::unique_ptr<sqlite3_stmt, finalize_statement> Handle;
    /// Number of $N at each place of SQLite, which counts by appearance.
    std::vector<std::size_t> Numbers;
    prepared_shape Shape;
  };
  using cached_result = base::expected<cached_statement *, sql_error>;

  cached_result prepare(const std::string &Text);
  base::expected<result_set, sql_error> step(const cached_statement &Cached);
  void control(const char *Text);
  [[nodiscard]] sql_error lastError() const;

  std::unique_ptr<sqlite3, close_database> Database;
  std::unordered_map<std::string, cached_statement> Cache;
};

} // namespace radishrelay::backend::detail

#endif
