#ifndef RADISHRELAY_GROUPS_CONNECTION_RELEASE_STATE_H
#define RADISHRELAY_GROUPS_CONNECTION_RELEASE_STATE_H

namespace radishrelay::groups {

/// State of a backend connection when a request releases it.
enum class connection_release_state {
  /// A single statement outside a transaction block has ended, and it cannot
  /// have changed the state of the database session.
  Clean,
  /// The state of the database session may have changed.
  NeedsReset,
  /// A transaction block is open.
  InTransaction,
  /// The request timed out, was cancelled or failed without an answer. A late
  /// answer could be taken for that of the next request, so the connection is
  /// closed.
  Uncertain,
};

} // namespace radishrelay::groups

#endif
