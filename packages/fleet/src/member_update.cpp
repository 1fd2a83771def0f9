#include "radishrelay/fleet/member_update.h"

namespace radishrelay::fleet {

const char *toString(member_state State) {
  constexpr const char *Names[] = {"live", "suspected", "leaving", "gone"};
  return Names[static_cast<std::size_t>(State)];
}

bool overrides(const member_update &Newer, const member_update &Known) {
  if (Newer.Incarnation != Known.Incarnation)
    return Newer.Incarnation > Known.Incarnation;
  return Newer.State > Known.State;
}

} // namespace radishrelay::fleet
