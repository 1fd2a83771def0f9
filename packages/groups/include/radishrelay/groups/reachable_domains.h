#ifndef RADISHRELAY_GROUPS_REACHABLE_DOMAINS_H
#define RADISHRELAY_GROUPS_REACHABLE_DOMAINS_H

#include "radishrelay/base/identifier.h"

#include <set>

namespace radishrelay::groups {

/// Event: the failure domains in which this host reaches other hosts, its own
/// included, by the membership.
struct reachable_domains {
  std::set<base::failure_domain_id> Domains;

  friend bool operator==(const reachable_domains &,
                         const reachable_domains &) = default;
};

} // namespace radishrelay::groups

#endif
