#ifndef RADISHRELAY_FLEET_WITNESS_MAJORITY_H
#define RADISHRELAY_FLEET_WITNESS_MAJORITY_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/configuration_document.h"

#include <functional>
#include <optional>

namespace radishrelay::fleet {

/// Time point at which a witness was asked, or empty when its answer does not
/// count.
using asked_at_function =
    std::function<std::optional<base::time_point>(const base::host_id &)>;

/// Latest time point such that a majority of the witnesses was asked at or
/// after it. While a change of witnesses is in progress both lists need a
/// majority. Empty without a majority or without witnesses.
std::optional<base::time_point>
majorityAskedAt(const configuration_document &Document,
                const asked_at_function &AskedAt);

/// True when \p Host is a witness, present or former.
bool isWitness(const configuration_document &Document,
               const base::host_id &Host);

/// All witnesses, present and former, without repetition.
std::vector<base::host_id> allWitnesses(const configuration_document &Document);

} // namespace radishrelay::fleet

#endif
