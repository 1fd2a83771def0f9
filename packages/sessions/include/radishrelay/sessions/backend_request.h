#ifndef RADISHRELAY_SESSIONS_BACKEND_REQUEST_H
#define RADISHRELAY_SESSIONS_BACKEND_REQUEST_H

#include "radishrelay/groups/log_position.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::sessions {

/// What is asked of an instance.
enum class backend_verb {
  /// Runs Text, unchanged, for a client.
  Forward,
  /// Runs the prepared statement Name with the arguments Text, for a client.
  Execute,
  Begin,
  BeginReadOnly,
  Rollback,
  /// Drops session values and prepared statements.
  Reset,
  SetValue,
  Prepare,
  Status,
  /// Stops a replica from receiving entries of terms below Term.
  Fence,
  /// Makes a primary of a term below Term a replica.
  Demote,
  /// Ends a fence.
  Unfence,
};

constexpr std::size_t BackendVerbs = 12;

/// Name for metrics, in snake case.
std::string_view verbName(backend_verb Verb);

/// One request on a backend connection.
struct backend_request {
  backend_verb Verb = backend_verb::Status;
  /// Identifier of the client's statement; empty for the proxy's own ones.
  std::string Id;
  /// Position that the instance's log must hold.
  std::optional<groups::log_position> After;
  std::string Name;
  std::string Text;
  /// Prepare: whether the shape in Text writes.
  bool Writes = false;
  groups::term_number Term = 0;

  friend bool operator==(const backend_request &,
                         const backend_request &) = default;
};

} // namespace radishrelay::sessions

#endif
