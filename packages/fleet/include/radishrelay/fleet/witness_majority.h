#ifndef RADISHRELAY_FLEET_WITNESS_MAJORITY_H
#define RADISHRELAY_FLEET_WITNESS_MAJORITY_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/configuration_document.h"

#include <functional>
#include <optional>

namespace radishrelay::fleet {

/// Returns the time point at which the latest question that a witness answered
/// was sent, or nothing if the witness does not count.
using asked_at_function =
    std::function<std::optional<base::time_point>(const base::host_id &)>;

/// Returns the latest time point such that a majority of the witnesses was
/// asked at or after it. During a change of witnesses, this must hold for the
/// current and the previous list. Returns nothing if there is no majority or
/// there are no witnesses.
std::optional<base::time_point>
majorityAskedAt(const configuration_document &Document,
                const asked_at_function &AskedAt);

/// Returns true if \p Host is in the current or the previous list of witnesses.
bool isWitness(const configuration_document &Document,
               const base::host_id &Host);

/// Returns the witnesses of the current and the previous list, without
/// duplicates.
std::vector<base::host_id> allWitnesses(const configuration_document &Document);

} // namespace radishrelay::fleet

#endif
