#ifndef RADISHRELAY_CLI_SRC_DATABASE_FAULTS_H
#define RADISHRELAY_CLI_SRC_DATABASE_FAULTS_H

#include "radishrelay/backend/stand_in_group.h"
#include "radishrelay/base/expected.h"
#include "radishrelay/base/json.h"

namespace radishrelay::cli {

/// Injects the fault {"instance":N,"fault":NAME,"ms":N} into the group; "ms"
/// belongs to "delay", "lag" and "service_time". The failure lists the allowed
/// names.
base::failure injectFault(backend::stand_in_group &Group,
                          const base::json &Fault);

/// The instances' counters and states.
base::json reportJson(const backend::stand_in_group &Group);

} // namespace radishrelay::cli

#endif
