#include "radishrelay/groups/ran_state.h"

namespace radishrelay::groups {

std::string_view toString(ran_state Ran) {
  switch (Ran) {
  case ran_state::No:
    return "no";
  case ran_state::Yes:
    return "yes";
  case ran_state::Unknown:
    break;
  }
  return "unknown";
}

ran_state combine(ran_state Earlier, ran_state Later) {
  if (Earlier == ran_state::Yes || Later == ran_state::Yes)
    return ran_state::Yes;
  if (Earlier == ran_state::Unknown || Later == ran_state::Unknown)
    return ran_state::Unknown;
  return ran_state::No;
}

} // namespace radishrelay::groups
