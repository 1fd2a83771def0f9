#ifndef RADISHRELAY_GROUPS_RAN_STATE_H
#define RADISHRELAY_GROUPS_RAN_STATE_H

#include <string_view>

namespace radishrelay::groups {

/// Whether a request has taken effect, as told to the caller.
enum class ran_state { No, Yes, Unknown };

/// Returns "no", "yes" or "unknown".
std::string_view toString(ran_state Ran);

/// State of a request after two attempts of which each may have taken effect.
ran_state combine(ran_state Earlier, ran_state Later);

} // namespace radishrelay::groups

#endif
