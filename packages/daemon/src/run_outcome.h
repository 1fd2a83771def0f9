#ifndef RADISHRELAY_DAEMON_SRC_RUN_OUTCOME_H
#define RADISHRELAY_DAEMON_SRC_RUN_OUTCOME_H

#include "radishrelay/backend/backend_event.h"
#include "radishrelay/daemon/problem.h"
#include "radishrelay/groups/attempt_end.h"
#include "radishrelay/groups/connection_release_state.h"
#include "radishrelay/groups/instance_status.h"

#include <optional>

namespace radishrelay::daemon::detail {

/// What the decisions need to know of a run.
groups::attempt_end attemptEnd(const backend::run_finished &Event);

/// In which state the run leaves its connection.
groups::connection_release_state useEnd(const backend::run_finished &Event);

/// The status that statement \p Index of the run returned, if it did.
std::optional<groups::status_evidence>
statusAt(const backend::run_finished &Event, std::size_t Index);

/// Refusal for an error that the backend server reported.
problem statementProblem(const backend::run_finished &Event,
                         groups::ran_state Ran);

/// Refusal of a request whose effect cannot be told.
problem unknownProblem(const std::string &Detail, const std::string &Step,
                       const std::string &Peer);

} // namespace radishrelay::daemon::detail

#endif
