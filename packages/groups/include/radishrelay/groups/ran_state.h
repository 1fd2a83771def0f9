#ifndef RADISHRELAY_GROUPS_RAN_STATE_H
#define RADISHRELAY_GROUPS_RAN_STATE_H

#include <string_view>

namespace radishrelay::groups {

/// Whether a request has taken effect, as reported to its caller.
enum class ran_state { No, Yes, Unknown };

/// Returns "no", "yes" or "unknown".
std::string_view toString(ran_state Ran);

/// Returns whether a request has taken effect in at least one of two attempts.
ran_state combine(ran_state Earlier, ran_state Later);

} // namespace radishrelay::groups

#endif
