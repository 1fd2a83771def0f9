#ifndef RADISHRELAY_SESSIONS_ENGINE_COUNTERS_H
#define RADISHRELAY_SESSIONS_ENGINE_COUNTERS_H

#include "radishrelay/sessions/answer_doubt.h"

#include <array>
#include <cstdint>

namespace radishrelay::sessions {

/// Event counts of a session_engine since its start.
struct engine_counters {
  std::uint64_t SessionsStarted = 0;
  std::uint64_t SessionsRejected = 0;
  std::uint64_t StatementsServed = 0;
  std::uint64_t StatementsRefused = 0;
  std::uint64_t ReadsOnReplicas = 0;
  std::uint64_t ReadsOnPrimaries = 0;
  /// Attempts of a statement after its first one, on any instance.
  std::uint64_t StatementRetries = 0;
  /// Statements rejected because the rate of their account was exceeded.
  std::uint64_t RateExceeded = 0;
  /// Transactions that ended because the failure domain of their instance was
  /// closed by an evacuation.
  std::uint64_t EvacuationTransactionsEnded = 0;
  /// Statements refused because the primary is in a closed failure domain.
  std::uint64_t EvacuationRefusals = 0;
  /// Statements refused because no instance in a home region can run them.
  std::uint64_t HomeRefusals = 0;
  /// Statements that had to wait, or were refused, for lack of a permit of a
  /// cold instance.
  std::uint64_t ColdWaits = 0;
  std::uint64_t ColdRefusals = 0;
  /// Changes of the store's history that this host has seen.
  std::uint64_t StoreHistoryChanges = 0;
  /// Answers of instances that may not belong to the request they were taken
  /// for, indexed by answer_doubt.
  std::array<std::uint64_t, AnswerDoubtCount> AnswersInDoubt{};

  friend bool operator==(const engine_counters &,
                         const engine_counters &) = default;
};

} // namespace radishrelay::sessions

#endif
