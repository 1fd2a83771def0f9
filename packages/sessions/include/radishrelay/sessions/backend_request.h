#ifndef RADISHRELAY_SESSIONS_BACKEND_REQUEST_H
#define RADISHRELAY_SESSIONS_BACKEND_REQUEST_H

#include "radishrelay/groups/log_position.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::sessions {

/// Operation that an instance is asked to execute.
enum class backend_verb {
  /// Runs the client's statement backend_request::Text unchanged.
  Forward,
  /// Runs the prepared statement backend_request::Name for a client, with the
  /// arguments in backend_request::Text.
  Execute,
  Begin,
  BeginReadOnly,
  Rollback,
  /// Drops the session values and prepared statements of the connection.
  Reset,
  SetValue,
  Prepare,
  Status,
  /// Stops a replica from receiving log entries of terms below
  /// backend_request::Term.
  Fence,
  /// Turns a primary of a term below backend_request::Term into a replica.
  Demote,
  /// Lifts the fence set by Fence.
  Unfence,
};

constexpr std::size_t BackendVerbCount = 12;

/// Returns the name of \p Verb in metrics, in snake case.
std::string_view verbName(backend_verb Verb);

/// One request on a backend connection.
struct backend_request {
  backend_verb Verb = backend_verb::Status;
  /// Identifier of the client's statement. Empty for requests that the proxy
  /// makes itself.
  std::string Id;
  /// Log position that the instance must have reached to run the request;
  /// otherwise it answers refusal::Lagging.
  std::optional<groups::log_position> After;
  /// SetValue: the variable; Prepare, Execute: the name of the prepared
  /// statement on the connection.
  std::string Name;
  /// Forward: the statement; SetValue: the value; Prepare: the shape; Execute:
  /// the arguments.
  std::string Text;
  /// Prepare: whether the prepared statement writes.
  bool Writes = false;
  /// Forward: whether a success ends the open transaction.
  bool EndsTransaction = false;
  /// Fence, Demote: the term below which the operation applies.
  groups::term_number Term = 0;

  friend bool operator==(const backend_request &,
                         const backend_request &) = default;
};

} // namespace radishrelay::sessions

#endif
