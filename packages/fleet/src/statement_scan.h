#ifndef RADISHRELAY_FLEET_SRC_STATEMENT_SCAN_H
#define RADISHRELAY_FLEET_SRC_STATEMENT_SCAN_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::fleet::detail {

/// Result of a lexical scan of an SQL statement. Comments, quoted identifiers
/// and literals are skipped.
struct statement_scan {
  /// Unquoted words in upper case.
  std::vector<std::string> Words;
  /// Numbers of the parameters $1, $2, and so on that the statement uses.
  std::set<std::int64_t> Parameters;
  /// True if another token follows a semicolon.
  bool HasMultipleStatements = false;
  /// True if a comment, quoted identifier or literal is not closed.
  bool IsUnterminated = false;
};

statement_scan scanStatement(std::string_view Text);

/// Returns the first keyword that a read route must not contain, or an empty
/// string. A statement that does not start with SELECT, WITH, VALUES or TABLE
/// is rejected by its first word.
std::string findWriteKeyword(const statement_scan &Scan);

} // namespace radishrelay::fleet::detail

#endif
