#ifndef RADISHRELAY_GROUPS_TESTS_SIM_HOST_H
#define RADISHRELAY_GROUPS_TESTS_SIM_HOST_H

#include "sim_node.h"

#include "radishrelay/groups/group_failover.h"
#include "radishrelay/groups/term_lease_reader.h"
#include "radishrelay/groups/write_attempt.h"
#include "radishrelay/groups/write_tracker.h"

namespace radishrelay::groups::testing {

/// A simulated host: the state machines that one host runs for a database
/// group.
struct sim_host : sim_node {
  /// Time of the scheduled wake-up.
  base::time_point WakeAt = base::time_point::max();
  std::optional<group_failover> Failover;
  std::optional<write_tracker> Tracker;
  std::optional<term_lease_reader> Leases;
  /// Writes without a commit answer.
  std::map<write_id, write_attempt> Attempts;
};

} // namespace radishrelay::groups::testing

#endif
