#ifndef RADISHRELAY_BACKEND_SRC_STATEMENT_KIND_H
#define RADISHRELAY_BACKEND_SRC_STATEMENT_KIND_H

#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::backend::detail {

/// How the stand-in treats a statement.
enum class statement_kind {
  Empty,
  Sql,
  Begin,
  Commit,
  Rollback,
  /// DISCARD ALL and SET, which have nothing to change.
  NoOperation,
  GroupStatus,
  GroupRaiseTerm,
  GroupPromote,
  /// Commands of SQLite that would escape the transaction rules.
  Unsupported,
};

statement_kind classify(std::string_view Text);

/// First word of the statement in upper case.
std::string firstWord(std::string_view Text);

/// Splits a simple query at semicolons outside quotes and comments.
std::vector<std::string> splitStatements(std::string_view Text);

} // namespace radishrelay::backend::detail

#endif
