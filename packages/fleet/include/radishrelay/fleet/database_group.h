#ifndef RADISHRELAY_FLEET_DATABASE_GROUP_H
#define RADISHRELAY_FLEET_DATABASE_GROUP_H

#include "radishrelay/base/identifier.h"
#include "radishrelay/fleet/backend_instance.h"

#include <cstdint>
#include <vector>

namespace radishrelay::fleet {

/// A replicated database: a primary and its replicas.
struct database_group {
  base::group_id Id;
  /// Number of slots of the database, at least 1.
  std::int64_t Slots = 1;
  /// Number of connections that each instance accepts from all hosts together,
  /// at least 1.
  std::int64_t Connections = 1;
  std::vector<backend_instance> Instances;

  friend auto operator<=>(const database_group &,
                          const database_group &) = default;
};

} // namespace radishrelay::fleet

#endif
