#ifndef RADISHRELAY_GROUPS_CONNECTION_USE_END_H
#define RADISHRELAY_GROUPS_CONNECTION_USE_END_H

namespace radishrelay::groups {

/// In which state a request leaves its connection.
enum class connection_use_end {
  /// One statement outside a transaction block has ended, and it cannot have
  /// changed the state of the database session.
  Clean,
  /// The state of the database session may have changed.
  NeedsReset,
  /// A transaction block is open.
  InTransaction,
  /// The request timed out, was cancelled or failed without an answer: late
  /// answers could be taken for those of another request.
  Uncertain,
};

} // namespace radishrelay::groups

#endif
