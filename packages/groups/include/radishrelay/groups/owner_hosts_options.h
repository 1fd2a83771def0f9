#ifndef RADISHRELAY_GROUPS_OWNER_HOSTS_OPTIONS_H
#define RADISHRELAY_GROUPS_OWNER_HOSTS_OPTIONS_H

#include <cstddef>
#include <cstdint>

namespace radishrelay::groups {

/// Settings of owner_hosts.
struct owner_hosts_options {
  /// Number of host slots per failure domain that serve a database group.
  std::size_t Owners = 2;
  /// Number of further slots that replace owners that are not live.
  std::size_t Spares = 1;
  /// Number of failure domains that contain hosts of the proxy.
  std::size_t DomainCount = 3;
  /// Below this number of database groups every host serves every group.
  std::size_t MinDatabases = 200;

  friend bool operator==(const owner_hosts_options &,
                         const owner_hosts_options &) = default;
};

} // namespace radishrelay::groups

#endif
