#ifndef RADISHRELAY_SESSIONS_STATEMENT_H
#define RADISHRELAY_SESSIONS_STATEMENT_H

#include <string>

namespace radishrelay::sessions {

/// Effect of a client's statement.
enum class statement_kind {
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetValue,
  Prepare,
  Execute,
  Deallocate,
  Malformed,
};

/// One statement of a client.
struct statement {
  statement_kind Kind = statement_kind::Malformed;
  /// The statement as the client sent it; reads, writes and commits are
  /// forwarded with this text.
  std::string Text;
  /// SetValue: the variable; Prepare, Execute, Deallocate: the name of the
  /// prepared statement.
  std::string Name;
  /// SetValue: the value; Prepare: the shape, which is the text of the
  /// statement without its arguments; Execute: the arguments.
  std::string Value;
  /// Prepare: whether the prepared statement writes.
  bool Writes = false;

  friend bool operator==(const statement &, const statement &) = default;
};

} // namespace radishrelay::sessions

#endif
