#ifndef RADISHRELAY_DAEMON_SRC_RUN_OUTCOME_H
#define RADISHRELAY_DAEMON_SRC_RUN_OUTCOME_H

#include "radishrelay/backend/backend_event.h"
#include "radishrelay/daemon/problem.h"
#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/connection_release_state.h"
#include "radishrelay/groups/instance_status.h"

#include <optional>

namespace radishrelay::daemon::detail {

/// Converts the result of a run to the form on which retries are decided.
groups::attempt_end attemptEnd(const backend::run_finished &Event);

/// Returns the state in which the run leaves its connection.
groups::connection_release_state
releaseState(const backend::run_finished &Event);

/// Returns the status that statement \p Index of the run returned, or nothing
/// if it returned none.
std::optional<groups::status_evidence>
statusAt(const backend::run_finished &Event, std::size_t Index);

/// Makes the refusal for a statement that the backend server rejected.
problem statementProblem(const backend::run_finished &Event,
                         groups::ran_state Ran);

/// Makes the refusal of a request of which it is not known whether it ran.
problem outcomeUnknownProblem(const std::string &Detail,
                              const std::string &Step, const std::string &Peer);

} // namespace radishrelay::daemon::detail

#endif
