#ifndef RADISHRELAY_FLEET_SRC_STATEMENT_SCAN_H
#define RADISHRELAY_FLEET_SRC_STATEMENT_SCAN_H

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace radishrelay::fleet::detail {

/// What a lexical scan of an SQL statement finds outside of comments, quoted
/// names and literals.
struct statement_scan {
  /// Unquoted words in upper case.
  std::vector<std::string> Words;
  /// Numbers of the parameters $1, $2, and so on.
  std::set<std::int64_t> Parameters;
  /// True when more follows after a semicolon.
  bool SeveralStatements = false;
  /// True when a comment, name or literal is not closed.
  bool Unterminated = false;
};

statement_scan scanStatement(std::string_view Text);

/// The first word that a read must not contain, or empty.
std::string findWriteWord(const statement_scan &Scan);

} // namespace radishrelay::fleet::detail

#endif
