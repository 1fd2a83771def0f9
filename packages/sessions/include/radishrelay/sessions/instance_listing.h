#ifndef RADISHRELAY_SESSIONS_INSTANCE_LISTING_H
#define RADISHRELAY_SESSIONS_INSTANCE_LISTING_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/groups/instance_status.h"

#include <cstdint>
#include <string>

namespace radishrelay::sessions {

/// One instance of a database group, as the platform lists it.
struct instance_listing {
  base::instance_id Instance;
  base::group_id Group;
  std::string Address;
  base::failure_domain_id Domain;
  /// Role that the instance reports of itself.
  groups::instance_role Role = groups::instance_role::Replica;
  bool Draining = false;
  /// Start time of the instance's process, in Unix milliseconds; a restarted
  /// instance keeps its identifier.
  std::int64_t StartedAt = 0;

  friend bool operator==(const instance_listing &,
                         const instance_listing &) = default;
};

} // namespace radishrelay::sessions

#endif
