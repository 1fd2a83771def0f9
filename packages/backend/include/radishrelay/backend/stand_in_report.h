#ifndef RADISHRELAY_BACKEND_STAND_IN_REPORT_H
#define RADISHRELAY_BACKEND_STAND_IN_REPORT_H

#include "radishrelay/groups/instance_status.h"

#include <cstddef>
#include <cstdint>

namespace radishrelay::backend {

/// What one instance of a stand_in_group is and has done.
struct stand_in_report {
  bool Alive = true;
  groups::instance_status Status;
  std::size_t Connections = 0;
  std::size_t MostConnections = 0;
  /// Connections refused because of the limit.
  std::uint64_t RefusedConnections = 0;
  /// Statements run, without BEGIN, COMMIT, ROLLBACK and the group calls.
  std::uint64_t Statements = 0;
  /// Transactions with writes that took effect.
  std::uint64_t Commits = 0;
  /// Bytes received beyond the limit of the recorder.
  std::uint64_t UnrecordedBytes = 0;

  friend bool operator==(const stand_in_report &,
                         const stand_in_report &) = default;
};

} // namespace radishrelay::backend

#endif
