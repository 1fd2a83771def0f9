#ifndef RADISHRELAY_BACKEND_STAND_IN_OPTIONS_H
#define RADISHRELAY_BACKEND_STAND_IN_OPTIONS_H

#include "radishrelay/backend/statement.h"
#include "radishrelay/base/monotonic_clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace radishrelay::backend {

/// Settings of a stand_in_group.
struct stand_in_options {
  std::size_t Instances = 3;
  /// Ports on 127.0.0.1; the kernel chooses those that are absent or 0.
  std::vector<std::uint16_t> Ports;
  /// Connections per instance; further ones get SQLSTATE 53300.
  std::size_t ConnectionLimit = 50;
  /// Statements that an instance runs at once when they take time.
  std::size_t Slots = 3;
  /// Time that one statement occupies a slot.
  base::duration ServiceTime = base::duration::zero();
  /// Time from the startup message to its answer.
  base::duration ConnectDelay = std::chrono::milliseconds(10);
  /// Age at which a log entry reaches the replicas.
  base::duration Lag = base::duration::zero();
  /// Longest wait for the transaction that holds the write lock; then
  /// SQLSTATE 55P03.
  base::duration LockWait = std::chrono::seconds(2);
  /// Bytes received from clients that each instance keeps.
  std::size_t RecordLimitBytes = std::size_t(16) << 20U;
  /// Log entries that every instance starts with, one per statement.
  std::vector<statement> Schema;
};

} // namespace radishrelay::backend

#endif
