#ifndef RADISHRELAY_SESSIONS_SESSION_PHASE_H
#define RADISHRELAY_SESSIONS_SESSION_PHASE_H

namespace radishrelay::sessions {

/// Transaction state of a session between two statements.
enum class session_phase {
  Idle,
  InTransaction,
  /// A statement of the transaction failed. Only a commit or rollback, which
  /// ends the transaction, is accepted.
  FailedTransaction,
};

} // namespace radishrelay::sessions

#endif
