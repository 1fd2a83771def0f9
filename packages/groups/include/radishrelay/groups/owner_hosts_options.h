#ifndef RADISHRELAY_GROUPS_OWNER_HOSTS_OPTIONS_H
#define RADISHRELAY_GROUPS_OWNER_HOSTS_OPTIONS_H

#include <cstddef>
#include <cstdint>

namespace radishrelay::groups {

/// Settings of the choice of owner hosts.
struct owner_hosts_options {
  /// Host slots of a failure domain to which the requests for a database go.
  std::size_t Owners = 2;
  /// Further slots that take the place of owners that are not live.
  std::size_t Spares = 1;
  /// Failure domains that have hosts of the system.
  std::size_t DomainCount = 3;
  /// Below this number of databases each host serves each database.
  std::size_t MinDatabases = 200;

  friend bool operator==(const owner_hosts_options &,
                         const owner_hosts_options &) = default;
};

} // namespace radishrelay::groups

#endif
