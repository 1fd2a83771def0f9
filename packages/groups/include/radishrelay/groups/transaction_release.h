#ifndef RADISHRELAY_GROUPS_TRANSACTION_RELEASE_H
#define RADISHRELAY_GROUPS_TRANSACTION_RELEASE_H

#include "radishrelay/groups/connection_number.h"
#include "radishrelay/groups/connection_release_state.h"

#include <cstdint>

namespace radishrelay::groups {

/// The connection of an ended transaction, which the caller has to release to
/// its pool.
struct transaction_release {
  std::uint64_t Transaction = 0;
  connection_number Connection = 0;
  connection_release_state End = connection_release_state::Uncertain;

  friend bool operator==(const transaction_release &,
                         const transaction_release &) = default;
};

} // namespace radishrelay::groups

#endif
